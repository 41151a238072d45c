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
	// folderFaultInterval is how often a node that reads the folder checks for new faults to publish.
	folderFaultInterval = time.Second
	// maxFolderFaults bounds the faults that are published, so that the gossip item fits into one packet.
	maxFolderFaults = 8
)

// folderFaults holds the validation errors because of which the newest folder revision is not in force. Only the nodes
// that read the folder find them; they publish them so that operators see them in the status of every node.
type folderFaults struct {
	Revision uint64         `json:"revision"`
	Faults   []config.Fault `json:"faults"`
}

// publishFolderFaults publishes the faults of the folder by gossip while this node reads it.
func (n *Node) publishFolderFaults(ctx context.Context) {
	var published uint64
	for ctx.Err() == nil {
		clock.Sleep(ctx, folderFaultInterval)
		status := n.config.Status()
		if !n.cluster.readsFolder() || status.FaultRevision <= published {
			continue
		}
		published = status.FaultRevision
		faults := folderFaults{status.FaultRevision, status.Faults[:min(len(status.Faults), maxFolderFaults)]}
		value, err := json.Marshal(faults)
		if err != nil {
			n.log.WithError(err).Error("could not encode folder faults")
			continue
		}
		n.cluster.gossip.Set(folderFaultKey, value, 0, true)
	}
}

// handleFolderFaults keeps the received faults if they are of a newer revision than the known ones.
func (n *Node) handleFolderFaults(item *pb.GossipItem) {
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

// currentFolderFaults returns the known faults if their revision is newer than the one in force, and nil otherwise.
func (n *Node) currentFolderFaults() *folderFaults {
	faults := n.folderFaults.Load()
	if faults == nil {
		return nil
	}
	if current := n.config.Current(); current != nil && current.FolderRevision >= faults.Revision {
		return nil
	}
	return faults
}
