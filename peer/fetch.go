package peer

import (
	"context"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/wire"
)

// ErrNoConfig is returned by FetchConfig if the agent sent no configuration document.
var ErrNoConfig = peerErrors.NewType("no_config")

// FetchConfig returns the current configuration document of an agent. An entry that
// starts while the configuration service is down learns from it which endpoints
// exist.
func FetchConfig(ctx context.Context, self Self, dial ebonypulley.Dialer, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := dial.OrTCP()(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrNotConnected.Wrap(err, "fetch from %s", addr)
	}
	conn := wire.NewConn(nc)
	_ = conn.Send(&wire.Hello{
		Version:    wire.Version,
		Role:       "entry",
		Name:       self.Name,
		DataCentre: self.DataCentre,
		// Not the entry's own incarnation, because this connection carries none
		// of the entry's attempts.
		Incarnation: wire.NewID(),
	})
	_ = conn.Send(&wire.ConfigRequest{})
	var text []byte
	err = conn.Serve(ctx, func(m wire.Message) {
		if c, ok := m.(*wire.Config); ok {
			text = c.Text
			conn.Close()
		}
	})
	if text == nil {
		return nil, ErrNoConfig.Wrap(errorx.Decorate(err, "no document received"), "fetch from %s", addr)
	}
	return text, nil
}
