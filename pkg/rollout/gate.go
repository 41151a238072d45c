package rollout

// Gate limits the requests that one node sends to a version that is not trusted yet. The sum over all nodes keeps to the
// bound without any message: each node's part is a share of the requests that it has received itself.
type Gate struct {
	requests, exposed float64
	// offset is between 0 and 1. Without it no node would send a first request before it has received 1/share of them,
	// and all would do so at the same time; with random offsets the sum over the nodes is the share of the sum.
	offset float64
}

// NewGate returns a gate. offset is a random number below 1; slackPart is this node's part of the exposure slack: its
// part of the service's requests.
func NewGate(b Bounds, offset, slackPart float64) *Gate {
	return &Gate{offset: offset + slackShare*slackPart*b.ExposureSlack}
}

// Request counts a request of the service, once, when it is first sent to a server.
func (g *Gate) Request() { g.requests++ }

// Sent counts a request, also a repeated one, that is sent to the new version.
func (g *Gate) Sent() { g.exposed++ }

// Exposed returns the number of requests sent to the new version, and that of all requests.
func (g *Gate) Exposed() (exposed, requests float64) { return g.exposed, g.requests }

// allows reports whether the node may send another request to the new version if the requests so far were multiplied by
// projection.
func (g *Gate) allows(b Bounds, projection float64) bool {
	return g.exposed+1 <= g.offset+capShare*b.ExposureShare*g.requests*projection
}
