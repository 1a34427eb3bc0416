package control

import (
	"context"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/origin"
)

// serveOrigins records the streams that an entry has begun, and returns what is known
// of those that it asks for.
func (c *Control) serveOrigins(_ context.Context, body []byte) (any, error) {
	var request origin.Request
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range request.Begun {
		for _, s := range g.Streams {
			c.origins.Record(now, s, g.Origin)
		}
	}
	var found origin.Groups
	for _, s := range request.Find {
		if o, ok := c.origins.Find(now, s); ok {
			found.Add(s, o)
		}
	}
	return &origin.Reply{Found: found.List()}, nil
}
