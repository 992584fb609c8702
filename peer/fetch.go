package peer

import (
	"context"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/wire"
)

// ErrNoConfig is returned by Fetch from an agent that has no document.
var ErrNoConfig = peerErrors.NewType("no_config")

// Fetch asks an agent for the configuration document in force there. It is
// how an entry that starts while the configuration service is down learns
// which endpoints exist.
func Fetch(ctx context.Context, self Self, dial ebonypulley.Dialer, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := dial.OrTCP()(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrDown.Wrap(err, "fetch from %s", addr)
	}
	conn := wire.NewConn(nc)
	_ = conn.Send(&wire.Hello{
		Version:    wire.Version,
		Role:       "entry",
		Name:       self.Name,
		DataCentre: self.DataCentre,
		// An incarnation of its own: this connection is not one of those
		// that carry the entry's attempts.
		Incarnation: wire.NewID(),
	})
	_ = conn.Send(&wire.ConfigWanted{})
	var text []byte
	err = conn.Serve(ctx, func(m wire.Message) {
		if c, ok := m.(*wire.Config); ok {
			text = c.Text
			conn.Close()
		}
	})
	if text == nil {
		return nil, ErrNoConfig.Wrap(errorx.Decorate(err, "no document came"), "fetch from %s", addr)
	}
	return text, nil
}
