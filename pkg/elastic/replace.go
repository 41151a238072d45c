package elastic

// Replace returns the numbers to order in a domain on the way from the servers that run to those that are planned, when
// reclaimable servers take the place of many on-demand ones.
//
// Load pattern: a rollout starts the servers of a new version as on-demand ones beside the old servers, and the old ones
// end with it. The domain is then full of on-demand servers. Giving them up at once would leave the load without servers
// while the planned ones boot, and as long as the domain is full no others start. Half of the missing reclaimable servers
// therefore take the place of on-demand servers at a time.
//
// limit bounds the servers of a domain, both kinds together.
func Replace(plan Counts, running Domain, limit int) Counts {
	missing := plan.Reclaimable - running.Reclaimable
	if missing <= 0 || running.Lasting <= plan.Lasting {
		return plan
	}
	kept := min(running.Lasting, plan.Lasting+missing, limit-running.Reclaimable-(missing+1)/2)
	kept = max(kept, plan.Lasting)
	return Counts{Reclaimable: max(0, min(plan.Reclaimable, limit-kept)), Lasting: kept}
}
