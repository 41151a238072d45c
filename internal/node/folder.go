package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
)

const (
	folderFaultKey = "folder/faults"
	// folderFaultInterval is how often a reader of the folder looks for new faults to tell.
	folderFaultInterval = time.Second
	// maxFolderFaults bounds the faults that are told to other nodes; one gossip item fits into a packet.
	maxFolderFaults = 8
)

// folderFaults are the reasons why the newest folder revision is not in force. Only the nodes that read the folder
// find them; they tell the others, so that an operator sees them on every node.
type folderFaults struct {
	Revision uint64         `json:"revision"`
	Faults   []config.Fault `json:"faults"`
}

// shareFolderFaults gossips the faults of the folder while this node reads it.
func (n *Node) shareFolderFaults(ctx context.Context) {
	var told uint64
	for ctx.Err() == nil {
		clock.Sleep(ctx, folderFaultInterval)
		status := n.config.Status()
		if !n.cluster.readsFolder() || status.FaultRevision <= told {
			continue
		}
		told = status.FaultRevision
		faults := folderFaults{status.FaultRevision, status.Faults[:min(len(status.Faults), maxFolderFaults)]}
		value, err := json.Marshal(faults)
		if err != nil {
			n.log.WithError(err).Error("folder faults cannot be encoded")
			continue
		}
		n.cluster.gossip.Set(folderFaultKey, value, 0, true)
	}
}

// heardFolderFaults keeps the faults of the newest revision.
func (n *Node) heardFolderFaults(item *pb.GossipItem) {
	var faults folderFaults
	if json.Unmarshal(item.Value, &faults) != nil {
		return
	}
	for {
		known := n.folderFaults.Load()
		if known != nil && known.Revision >= faults.Revision || n.folderFaults.CompareAndSwap(known, &faults) {
			return
		}
	}
}

// openFolderFaults returns the faults of a revision that is newer than the one in force.
func (n *Node) openFolderFaults() *folderFaults {
	faults := n.folderFaults.Load()
	if faults == nil {
		return nil
	}
	if current := n.config.Current(); current != nil && current.FolderRevision >= faults.Revision {
		return nil
	}
	return faults
}
