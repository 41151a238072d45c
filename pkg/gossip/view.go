package gossip

import "slices"

// pick returns a random peer of the view whose node is not excluded, or an empty Peer when there is none.
func (c *Core) pick(excluded []string) Peer { return c.pickFrom(c.view, excluded) }

func (c *Core) pickFrom(peers []Peer, excluded []string) Peer {
	count := 0
	var chosen Peer
	for _, p := range peers {
		if slices.Contains(excluded, p.Node) {
			continue
		}
		count++
		if c.cfg.Rand.IntN(count) == 0 {
			chosen = p
		}
	}
	return chosen
}

// fillView adds random peers until the view has localRegionView peers of the local region and otherRegionView of other
// regions.
func (c *Core) fillView() {
	for _, part := range []struct {
		localRegion bool
		size        int
	}{{true, localRegionView}, {false, otherRegionView}} {
		count := 0
		for _, p := range c.view {
			if (p.Region == c.cfg.Region) == part.localRegion {
				count++
			}
		}
		var candidates []Peer
		for _, p := range c.peers {
			if (p.Region == c.cfg.Region) == part.localRegion {
				candidates = append(candidates, p)
			}
		}
		for count < part.size {
			p := c.pickFrom(candidates, nodeNames(c.view))
			if p.Node == "" {
				break
			}
			c.view = append(c.view, p)
			count++
		}
	}
}

// rotateView replaces the oldest peer of the view, so that all peers stay in it for the same time. The replaced peer
// is not chosen again at once unless no other is left.
func (c *Core) rotateView() {
	if len(c.peers) > len(c.view) && len(c.view) > 0 {
		oldest := c.view[0]
		c.view = slices.Delete(slices.Clone(c.view), 0, 1)
		c.fillViewWithout(oldest)
		return
	}
	c.fillView()
}

// fillViewWithout fills the view from all peers but one, which is used only when no other is left.
func (c *Core) fillViewWithout(removed Peer) {
	all := c.peers
	c.peers = slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.Node == removed.Node })
	c.fillView()
	c.peers = all
	c.fillView()
}
