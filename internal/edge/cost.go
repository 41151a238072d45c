package edge

import (
	"bytes"
	"math"
	"time"

	"github.com/pollenlug/pollenlug/pkg/cost"
	"github.com/pollenlug/pollenlug/pkg/placement"
)

// choice describes the servers that a request may be sent to.
func (n *Node) choice(req *request) placement.Choice {
	return placement.Choice{Service: req.service.Name, Route: req.route.Name, Repeatable: req.route.Repeat.MayRetry(),
		Exclude: req.triedServers, Allowed: n.outliers.Allow}
}

// engineRequest describes a request for the selection of an engine. resumed is set if another server may have run it before.
func engineRequest(req *request, choice placement.Choice, resumed bool) placement.EngineRequest {
	workspace := ""
	if req.workspace != nil {
		workspace = req.workspace.Name
	}
	return placement.EngineRequest{Choice: choice, Prompt: req.Prompt, PromptTokens: max(req.PromptTokens, 0),
		Output:  cost.Output{Route: req.route.Name, Workspace: workspace, Hint: max(req.ExpectedOutput, 0), Limit: max(req.OutputTokens, 0)},
		Resumed: resumed, CacheTokens: req.service.Engine.CacheTokens}
}

// countEvents returns the number of complete events in a block of them.
func countEvents(block []byte) int {
	return bytes.Count(block, []byte("\n\n")) + bytes.Count(block, []byte("\r\n\r\n"))
}

// observeCost records what a served request was predicted to cost and has cost.
func (n *Node) observeCost(req *request, ticket *placement.Ticket) {
	measured := ticket.MeasuredCost()
	if measured <= 0 {
		return
	}
	req.predictedCost, req.measuredCost = ticket.Cost(), measured
	n.metrics.Observe("predicted_cost", serverTime(ticket.Cost()))
	n.metrics.Observe("measured_cost", serverTime(measured))
	n.metrics.Count("cost_predictions", "error", costError(ticket.Cost(), measured), 1)
}

// costError is the class of a prediction: by which factor it was wrong, in either direction.
func costError(predicted, measured float64) string {
	switch factor := math.Exp(math.Abs(math.Log(max(predicted, 1e-6) / max(measured, 1e-6)))); {
	case factor <= 1.5:
		return "up_to_1.5"
	case factor <= 3:
		return "up_to_3"
	default:
		return "above_3"
	}
}

func serverTime(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// costMillis returns a cost in ms with three digits after the point.
func costMillis(seconds float64) float64 { return math.Round(1e6*seconds) / 1e3 }
