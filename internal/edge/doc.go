// Package edge implements a node. It accepts requests in the HTTP protocol of a platform, tells callers which node
// addresses to use, relays requests to backend servers and streams their responses back.
//
// State that must be durable or consistent is kept in the platform's store: the operators' configuration, the rows of
// backend servers, the nodes' own rows, the duty lease and the final usage counts. Nodes exchange everything else in
// heartbeats, datagrams sent several times a second: requests in progress on each server, the quota consumed by each
// workspace and the version and age of their view of the store. Normally one node polls the rows of servers and eight
// nodes long-poll the other tables; they forward changes at once (see readerSelection and pendingChanges). A node that
// cannot reach the store keeps using the views it has and what its peers send. A node without peers reads the store
// itself and keeps to its own share of each limit.
//
// Duties are the calls that only one node at a time may make, the holder of the duty lease: usage reports and orders of
// servers.
//
// Decisions are made by packages without I/O under pkg/: placement, quota, limit, usage and elastic.
package edge
