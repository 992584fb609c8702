package attempt

import (
	"ebonypulley/wire"
)

// Fate is what an entry may report of a finished attempt.
type Fate int

const (
	// Answered means that the service answered; the answer is in the Outcome.
	Answered Fate = iota
	// Refused means that the agent refused the call before its start; nothing ran.
	Refused
	// NotRun means that the call has not run and never will.
	NotRun
	// Unknown means that the call may have run.
	Unknown
)

// End describes how an attempt ended, as its entry sees it.
type End struct {
	Fate Fate
	// Outcome is set for Answered.
	Outcome *wire.Outcome
	// Refusal is set for Refused.
	Refusal *wire.Refused
}

// Step is what the entry does next: send a message, end the attempt or, if both
// fields are nil, wait.
type Step struct {
	Send wire.Message
	End  *End
}

type clientPhase int

const (
	offering clientPhase = iota
	starting
	withdrawing
	finished
)

// Client is the entry's side of one attempt at a plain call, a state machine
// without I/O.
//
// It prevents an entry that lost its connection or its agent from reporting
// NotRun for a call that did run. Before Start is sent nothing can have run;
// afterwards the Client accepts only an Outcome of the incarnation that granted
// the attempt.
type Client struct {
	phase       clientPhase
	incarnation wire.Incarnation
	offer       *wire.Offer
	start       *wire.Start
}

// NewClient returns a Client for an attempt at the given incarnation of an
// agent. It sets the ID and the incarnation of start.
func NewClient(incarnation wire.Incarnation, offer *wire.Offer, start *wire.Start) *Client {
	start.ID = offer.ID
	start.Incarnation = incarnation
	return &Client{incarnation: incarnation, offer: offer, start: start}
}

// Begin returns the first step, which sends the offer.
func (c *Client) Begin() Step { return Step{Send: c.offer} }

// Started reports whether the call may have run.
func (c *Client) Started() bool { return c.phase == starting || c.phase == withdrawing }

// Connected reports that a connection to the given incarnation of the agent is
// established. The last message is sent again, unless the agent has restarted.
func (c *Client) Connected(incarnation wire.Incarnation) Step {
	if incarnation != c.incarnation {
		return c.Lost()
	}
	switch c.phase {
	case offering:
		return Step{Send: c.offer}
	case starting:
		return Step{Send: c.start}
	case withdrawing:
		return Step{Send: &wire.Withdraw{ID: c.offer.ID}}
	default:
		return Step{}
	}
}

// Lost reports that the agent has restarted or can't be reached.
func (c *Client) Lost() Step {
	if c.Started() {
		return c.end(End{Fate: Unknown})
	}
	return c.end(End{Fate: NotRun})
}

// Expire reports that the deadline has passed. For a started call the agent is
// asked for the final state, which the caller must not wait for indefinitely.
func (c *Client) Expire() Step {
	if c.phase == starting {
		c.phase = withdrawing
		return Step{Send: &wire.Withdraw{ID: c.offer.ID}}
	}
	return c.Lost()
}

// Settled ends the attempt without waiting for the agent's final state any
// longer.
func (c *Client) Settled() Step { return c.Lost() }

// Receive handles a message from the agent.
func (c *Client) Receive(m wire.Message) Step {
	switch m := m.(type) {
	case *wire.Granted:
		if c.phase != offering {
			return Step{} // a repeated grant
		}
		c.phase = starting
		return Step{Send: c.start}
	case *wire.Refused:
		if c.phase != offering {
			return Step{} // a late answer to a repeated offer
		}
		return c.end(End{Fate: Refused, Refusal: m})
	case *wire.Outcome:
		return c.receiveOutcome(m)
	default:
		return Step{}
	}
}

func (c *Client) receiveOutcome(m *wire.Outcome) Step {
	switch {
	case c.phase == finished || m.State == wire.Running:
		return Step{}
	case m.State == wire.Done:
		return c.end(End{Fate: Answered, Outcome: m})
	case m.State == wire.NotRun:
		return c.end(End{Fate: NotRun})
	default:
		return c.end(End{Fate: Unknown})
	}
}

func (c *Client) end(e End) Step {
	if c.phase == finished {
		return Step{}
	}
	c.phase = finished
	return Step{End: &e}
}
