package devcluster

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/internal/standin/service"
	"github.com/pollenlug/pollenlug/internal/standin/table"
)

// maxFaultBody bounds a request of the fault API, in bytes.
const maxFaultBody = 1 << 20

// FaultRequest is the body of every call of the fault API; each call reads the fields it needs.
type FaultRequest struct {
	// Server names a backend server; empty means all.
	Server string `json:"server,omitempty"`
	// Node names an entry node of this process.
	Node string `json:"node,omitempty"`
	// Instances and FailureDomain select the instances to reclaim; FailureDomain takes precedence.
	Instances       []string `json:"instances,omitempty"`
	FailureDomain   string   `json:"failure_domain,omitempty"`
	ReclaimableOnly bool     `json:"reclaimable_only,omitempty"`
	NoticeMs        int      `json:"notice_ms,omitempty"`
	// Refuse makes the cloud refuse starts in FailureDomain; false allows them again. An empty FailureDomain means all.
	Refuse bool `json:"refuse,omitempty"`
	// Text is the poison text: an engine crashes when it runs a prompt that contains it.
	Text string `json:"text,omitempty"`
	// The fields from Outage to SlowMs are the faults of the store. Outage is none, refusing or hanging; the others are
	// percentages of calls and times in milliseconds.
	Outage       string `json:"outage,omitempty"`
	LostPercent  int    `json:"lost_percent,omitempty"`
	LatePercent  int    `json:"late_percent,omitempty"`
	LateMs       int    `json:"late_ms,omitempty"`
	StalePercent int    `json:"stale_percent,omitempty"`
	StaleMs      int    `json:"stale_ms,omitempty"`
	SlowMs       int    `json:"slow_ms,omitempty"`
	// AgeMs is the age of the copy from which the store returns, in milliseconds.
	AgeMs int `json:"age_ms,omitempty"`
	// DropPercent makes services close connections after a call has run.
	DropPercent int `json:"drop_percent,omitempty"`
	// File and Content edit the operators' folder; empty content removes the file.
	File    string `json:"file,omitempty"`
	Content string `json:"content,omitempty"`
}

// Stats has the counters of the stand-ins.
type Stats struct {
	Engines map[string]engine.Stats `json:"engines"`
	// Runs counts the runs of each idempotency key, by backend server group.
	Runs map[string]map[string]int `json:"runs"`
	// RunCallers has the User-Agent of each of these runs, by group and key.
	RunCallers map[string]map[string][]string `json:"run_callers"`
	// CostMicros is the cost of all instances since their start, in millionths of the currency unit.
	CostMicros uint64 `json:"cost_micros"`
}

// faultAPI serves POST /faults/{name}, POST /folder and GET /stats.
func (s *Standins) faultAPI() http.Handler {
	mux := http.NewServeMux()
	for name, apply := range map[string]func(FaultRequest) any{
		"reclaim":       s.faultReclaim,
		"crash":         s.eachServer(func(b backendServer) { b.Crash() }),
		"restart":       s.eachServer(func(b backendServer) { _ = b.Restart() }),
		"freeze":        s.eachServer(func(b backendServer) { b.Freeze() }),
		"unfreeze":      s.eachServer(func(b backendServer) { b.Unfreeze() }),
		"silence":       s.eachServer(func(b backendServer) { b.Net().StallOpenConns() }),
		"poison":        s.faultPoison,
		"store":         s.faultStore,
		"return-store":  s.faultReturnStore,
		"drop-answers":  s.faultDrop,
		"refuse-starts": s.faultRefuse,
		"kill-node":     s.faultKillNode,
	} {
		mux.HandleFunc("POST /faults/"+name, handleFault(apply))
	}
	mux.HandleFunc("POST /folder", handleFault(s.editFolder))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	return mux
}

func handleFault(apply func(FaultRequest) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req FaultRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&req); err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, apply(req))
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

type affected struct {
	Affected []string `json:"affected"`
}

func (s *Standins) eachServer(apply func(backendServer)) func(FaultRequest) any {
	return func(req FaultRequest) any {
		var out affected
		for name, server := range s.selectServers(req.Server) {
			apply(server)
			out.Affected = append(out.Affected, name)
		}
		return out
	}
}

// selectServers returns the named backend server, or all if name is empty.
func (s *Standins) selectServers(name string) map[string]backendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]backendServer{}
	for key, server := range s.servers {
		if name == "" || name == key {
			out[key] = server
		}
	}
	return out
}

func (s *Standins) faultReclaim(req FaultRequest) any {
	notice := time.Duration(req.NoticeMs) * time.Millisecond
	if req.FailureDomain != "" {
		return affected{s.Platform.Cloud.ReclaimDomain(req.FailureDomain, notice, req.ReclaimableOnly)}
	}
	return affected{s.Platform.Cloud.Reclaim(notice, req.Instances...)}
}

func (s *Standins) faultReturnStore(req FaultRequest) any {
	s.Platform.Table.ReturnFromCopy(time.Duration(req.AgeMs) * time.Millisecond)
	return affected{}
}

func (s *Standins) faultPoison(req FaultRequest) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.SetPoison(req.Text)
	}
	return affected{}
}

func (s *Standins) faultStore(req FaultRequest) any {
	s.Platform.ClearStoreFaults()
	switch req.Outage {
	case "refusing":
		s.Platform.StoreOutage(table.Refusing)
	case "hanging":
		s.Platform.StoreOutage(table.Hanging)
	}
	s.Platform.LoseResponses(req.LostPercent, false)
	s.Platform.LateWrites(req.LatePercent, time.Duration(req.LateMs)*time.Millisecond)
	s.Platform.StaleReads(req.StalePercent, time.Duration(req.StaleMs)*time.Millisecond)
	if req.SlowMs > 0 {
		slow := time.Duration(req.SlowMs) * time.Millisecond
		s.Platform.StoreSlow(slow/2, slow)
	}
	return affected{}
}

func (s *Standins) faultDrop(req FaultRequest) any {
	const percent = 100.0
	for _, server := range s.selectServers(req.Server) {
		if service, ok := server.(*service.Service); ok {
			service.SetDrops(0, float64(req.DropPercent)/percent)
		}
	}
	return affected{}
}

func (s *Standins) faultRefuse(req FaultRequest) any {
	s.Platform.Cloud.RefuseStarts(req.FailureDomain, "", req.Refuse)
	return affected{}
}

func (s *Standins) faultKillNode(req FaultRequest) any {
	if s.killNode == nil || !s.killNode(req.Node) {
		return affected{}
	}
	return affected{[]string{req.Node}}
}

// editFolder edits the in-memory folder. It ignores a folder on disk, whose files are edited directly.
func (s *Standins) editFolder(req FaultRequest) any {
	folder, ok := s.Platform.Folder.(*platform.MemFolder)
	if !ok || strings.TrimSpace(req.File) == "" {
		return affected{}
	}
	var data []byte
	if req.Content != "" {
		data = []byte(req.Content)
	}
	return map[string]uint64{"revision": folder.EditFile(req.File, data)}
}

// Stats returns the counters of the stand-ins.
func (s *Standins) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{
		Engines:    map[string]engine.Stats{},
		Runs:       map[string]map[string]int{},
		RunCallers: map[string]map[string][]string{},
	}
	for name, e := range s.engines {
		out.Engines[name] = e.Stats()
	}
	for group, runLog := range s.runs {
		runs, callers := map[string]int{}, map[string][]string{}
		for _, run := range runLog.All() {
			if run.Key != "" {
				runs[run.Key]++
				callers[run.Key] = append(callers[run.Key], run.Caller)
			}
		}
		out.Runs[group], out.RunCallers[group] = runs, callers
	}
	out.CostMicros = s.cost()
	return out
}

// cost returns the cost of all backend servers, as price times running time; the caller holds s.mu.
func (s *Standins) cost() uint64 {
	var sum float64
	for name, settings := range s.settings {
		end := time.Now()
		if stopped, ok := s.stopped[name]; ok {
			end = stopped
		}
		sum += float64(settings.PricePerHourMicros) * end.Sub(s.started[name]).Hours()
	}
	return uint64(sum)
}
