package attempt

import (
	"ebonypulley/wire"
)

// Disposition is what an entry may report of a finished attempt.
type Disposition int

const (
	// Answered means that the service answered; the answer is in the Outcome.
	Answered Disposition = iota
	// Refused means that the agent refused the call before its start; nothing ran.
	Refused
	// NotRun means that the call has not run and never will.
	NotRun
	// Unknown means that the call may have run.
	Unknown
)

// Result describes how an attempt ended, as its entry sees it.
type Result struct {
	Disposition Disposition
	// Outcome is set for Answered.
	Outcome *wire.Outcome
	// Refusal is set for Refused.
	Refusal *wire.Refused
}

// Step is what the entry does next: send a message, end the attempt or, if both
// fields are nil, wait.
type Step struct {
	Send   wire.Message
	Result *Result
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
		return c.AgentLost()
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

// AgentLost reports that the agent has restarted or can't be reached.
func (c *Client) AgentLost() Step {
	if c.Started() {
		return c.end(Result{Disposition: Unknown})
	}
	return c.end(Result{Disposition: NotRun})
}

// DeadlinePassed reports that the deadline has passed. For a started call the
// agent is asked for the final state; the caller must call Abandon if that does
// not arrive soon.
func (c *Client) DeadlinePassed() Step {
	if c.phase == starting {
		c.phase = withdrawing
		return Step{Send: &wire.Withdraw{ID: c.offer.ID}}
	}
	return c.AgentLost()
}

// Abandon ends the attempt without waiting for the agent's final state any
// longer.
func (c *Client) Abandon() Step { return c.AgentLost() }

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
		return c.end(Result{Disposition: Refused, Refusal: m})
	case *wire.Outcome:
		return c.receiveOutcome(m)
	default:
		return Step{}
	}
}

func (c *Client) receiveOutcome(m *wire.Outcome) Step {
	switch {
	case c.phase == finished || m.State == wire.StateRunning:
		return Step{}
	case m.State == wire.StateDone:
		return c.end(Result{Disposition: Answered, Outcome: m})
	case m.State == wire.StateNotRun:
		return c.end(Result{Disposition: NotRun})
	default:
		return c.end(Result{Disposition: Unknown})
	}
}

func (c *Client) end(e Result) Step {
	if c.phase == finished {
		return Step{}
	}
	c.phase = finished
	return Step{Result: &e}
}
