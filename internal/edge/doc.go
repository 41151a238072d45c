// Package edge is a node that callers reach over the headers and routes of a platform: it answers which addresses to
// use, relays requests to backend servers and streams their answers back.
//
// What must last or be agreed lies in the platform's store: the operators' configuration, the rows of backend servers,
// the nodes' own rows, the lease of the duties and the usage counts once they are final. Nodes tell each other the rest
// in datagrams a few times a second: what they have in progress on each server, what they admitted for each workspace,
// and how fresh their view of the store is. One node reads the rows of servers and eight wait for other changes; they tell
// the rest at once, see storeTurn and toldChanges. A node without the store goes on with what it has and what its peers pass
// on; one without peers reads the store itself and keeps to its own share of each limit.
//
// Decisions are made by pure packages: placement, quota, limit, usage and elastic under pkg/.
package edge
