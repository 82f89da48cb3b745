package follow

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxQueuedPromptReports bounds the queued prompt reports; further ones are dropped.
	maxQueuedPromptReports = 128
	// promptReportTries and promptReportRetryDelay bound how often prompt reports that no
	// coordinator has taken are sent again.
	promptReportTries      = 8
	promptReportRetryDelay = 250 * time.Millisecond
)

// ReportPrompt passes a report to the other gateways. It does not block, and drops the report if
// the queue is full.
func (c *Client) ReportPrompt(r quarantine.Report) {
	select {
	case c.promptReports <- encodePromptReport(r):
	default:
		c.log.Warn("dropped a prompt report: too many wait", "engine", r.Engine, "parts", r.Parts)
	}
}

// RunPromptReports sends queued prompt reports until ctx ends.
func (c *Client) RunPromptReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.promptReports:
			request := &wire.ReportPromptsRequest{Reports: []*wire.PromptReport{first}}
			for len(c.promptReports) > 0 {
				request.Reports = append(request.Reports, <-c.promptReports)
			}
			go c.sendPromptReports(ctx, request)
		}
	}
}

// sendPromptReports sends reports to several coordinators, each of which forwards them to the
// gateways that it reaches, until at least one has taken them.
func (c *Client) sendPromptReports(ctx context.Context, request *wire.ReportPromptsRequest) {
	for range promptReportTries {
		taken := make(chan bool, maxPlacementTargets)
		addresses := c.connectedCoordinators()
		for _, address := range addresses {
			go func() {
				_, err := rpc.Call(ctx, c.dialer, address, placeTimeout,
					func(ctx context.Context, conn drpc.Conn) (*wire.ReportPromptsResponse, error) {
						return wire.NewDRPCCoordinatorClient(conn).ReportPrompts(ctx, request)
					})
				taken <- err == nil
			}()
		}
		anyTaken := false
		for range addresses {
			anyTaken = <-taken || anyTaken
		}
		if anyTaken {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(promptReportRetryDelay):
			for _, r := range request.Reports {
				r.AgeMs += uint32(promptReportRetryDelay.Milliseconds())
			}
		}
	}
	c.log.Warn("no coordinator took prompt reports", "count", len(request.Reports))
}

func encodePromptReport(r quarantine.Report) *wire.PromptReport {
	return &wire.PromptReport{
		Parts: r.Parts, Engine: r.Engine, StartedMs: r.StartedMS, AgeMs: uint32(max(0, r.Age.Milliseconds())),
		Uncertain: r.Uncertain, Repeated: r.Repeated,
	}
}

func decodePromptReport(r *wire.PromptReport) quarantine.Report {
	return quarantine.Report{
		Parts: r.Parts, Engine: r.Engine, StartedMS: r.StartedMs, Age: time.Duration(r.AgeMs) * time.Millisecond,
		Uncertain: r.Uncertain, Repeated: r.Repeated,
	}
}
