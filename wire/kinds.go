package wire

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Kind implements Message.
func (*Config) Kind() Kind { return KindConfig }

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }

// Kind implements Message.
func (*Granted) Kind() Kind { return KindGranted }

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Kind implements Message.
func (*Prefill) Kind() Kind { return KindPrefill }

// Kind implements Message.
func (*Prefilled) Kind() Kind { return KindPrefilled }

// Kind implements Message.
func (*Decode) Kind() Kind { return KindDecode }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (*Finish) Kind() Kind { return KindFinish }

// Kind implements Message.
func (*Failed) Kind() Kind { return KindFailed }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Cancelled) Kind() Kind { return KindCancelled }

// Kind implements Message.
func (*Offer) Kind() Kind { return KindOffer }

// Kind implements Message.
func (*Start) Kind() Kind { return KindStart }

// Kind implements Message.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (*Outcome) Kind() Kind { return KindOutcome }

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }

// Kind implements Message.
func (*Reply) Kind() Kind { return KindReply }

// Kind implements Message.
func (*PartsRequest) Kind() Kind { return KindPartsRequest }

// Kind implements Message.
func (*Parts) Kind() Kind { return KindParts }

// Kind implements Message.
func (*ConfigRequest) Kind() Kind { return KindConfigRequest }

// AttemptID implements AttemptMessage.
func (m *Reserve) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Granted) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Refused) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Prefill) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Prefilled) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Decode) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Chunk) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Ack) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Finish) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Failed) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Cancel) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Cancelled) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Offer) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Start) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Withdraw) AttemptID() ID { return m.ID }

// AttemptID implements AttemptMessage.
func (m *Outcome) AttemptID() ID { return m.ID }

// newMessage returns an empty message of kind k, or nil if k is unknown.
func newMessage(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindPing:
		return new(Ping)
	case KindPong:
		return new(Pong)
	case KindConfig:
		return new(Config)
	case KindReserve:
		return new(Reserve)
	case KindGranted:
		return new(Granted)
	case KindRefused:
		return new(Refused)
	case KindPrefill:
		return new(Prefill)
	case KindPrefilled:
		return new(Prefilled)
	case KindDecode:
		return new(Decode)
	case KindChunk:
		return new(Chunk)
	case KindAck:
		return new(Ack)
	case KindFinish:
		return new(Finish)
	case KindFailed:
		return new(Failed)
	case KindCancel:
		return new(Cancel)
	case KindCancelled:
		return new(Cancelled)
	case KindOffer:
		return new(Offer)
	case KindStart:
		return new(Start)
	case KindWithdraw:
		return new(Withdraw)
	case KindOutcome:
		return new(Outcome)
	case KindReport:
		return new(Report)
	case KindReply:
		return new(Reply)
	case KindPartsRequest:
		return new(PartsRequest)
	case KindParts:
		return new(Parts)
	case KindConfigRequest:
		return new(ConfigRequest)
	default:
		return nil
	}
}
