// ================================================================
// The command status: shows the known processes, the revision in force on each, and the progress of
// copies.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
)

var statusCommand = subcommand{
	name:    "status",
	summary: "Show voters, entries and agents, the revision in force on each, and the progress of copies",
	example: "  tidepost status\n  tidepost status -o json",
	build:   buildStatus,
}

func buildStatus(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.NoArgs
	return func(ctx context.Context, _ []string) error { return runStatus(ctx, s) }
}

// statusOf returns the status that one entry reports.
func (s *client) statusOf(ctx context.Context, address string) (contract.Status, error) {
	endpoint, err := s.open()
	if err != nil {
		return contract.Status{}, err
	}
	var status contract.Status
	err = endpoint.Call(ctx, address, link.KindStatus, contract.Acknowledgement{}, &status)
	return status, err
}

// processView is a process in the JSON and YAML output of status.
type processView struct {
	Name            string     `json:"name" yaml:"name"`
	Role            string     `json:"role" yaml:"role"`
	Domain          string     `json:"failure_domain" yaml:"failure_domain"`
	Revision        uint64     `json:"revision" yaml:"revision"`
	RevisionsBehind uint64     `json:"revisions_behind" yaml:"revisions_behind"`
	State           string     `json:"state" yaml:"state"`
	InFlight        uint32     `json:"in_flight" yaml:"in_flight"`
	Copies          []copyView `json:"copies,omitempty" yaml:"copies,omitempty"`
}

// copyView is a copy of a model's weights on a VM.
type copyView struct {
	Model  string `json:"model" yaml:"model"`
	Digest string `json:"digest" yaml:"digest"`
	Phase  string `json:"phase" yaml:"phase"`
	Chunks uint32 `json:"chunks" yaml:"chunks"`
	Total  uint32 `json:"total" yaml:"total"`
}

// statusView is the output of status in JSON and YAML.
type statusView struct {
	Revision    uint64        `json:"revision" yaml:"revision"`
	Leader      string        `json:"leader" yaml:"leader"`
	Term        uint64        `json:"term" yaml:"term"`
	Voters      []string      `json:"voters" yaml:"voters"`
	OriginBytes int64         `json:"origin_bytes" yaml:"origin_bytes"`
	PeerBytes   int64         `json:"peer_bytes" yaml:"peer_bytes"`
	Processes   []processView `json:"processes" yaml:"processes"`
}

func runStatus(ctx context.Context, s *client) error {
	view := statusView{Voters: []string{}, Processes: []processView{}}
	if _, err := s.open(); err != nil {
		return err
	}
	seen := map[string]bool{}
	var lastErr error
	answered := 0
	for _, address := range s.entries {
		status, err := s.statusOf(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		answered++
		view.merge(status, seen)
	}
	if answered == 0 {
		return lastErr
	}
	view.setRevisionsBehind()
	return s.show(view.report())
}

// merge adds the status of one entry. seen holds the names of the processes that earlier entries
// reported; these are not added again.
func (v *statusView) merge(s contract.Status, seen map[string]bool) {
	v.Revision = max(v.Revision, s.Revision())
	if s.Term() >= v.Term && len(s.Members()) > 0 {
		v.Term, v.Leader, v.Voters = s.Term(), s.Leader(), voterNames(s.Members())
	}
	add := func(p processView) {
		if !seen[p.Name] {
			seen[p.Name] = true
			v.Processes = append(v.Processes, p)
		}
	}
	add(processView{Name: string(s.Entry().ID()), Role: "entry", Domain: s.Entry().Domain(), Revision: s.Revision(), State: "serving"})
	for _, a := range s.Agents() {
		if !seen[string(a.LastHeartbeat().From().ID())] {
			v.OriginBytes += a.LastHeartbeat().OriginBytes()
			v.PeerBytes += a.LastHeartbeat().PeerBytes()
		}
		add(agentView(a))
	}
	for _, b := range s.Entries() {
		add(processView{Name: string(b.From().ID()), Role: "entry", Domain: b.From().Domain(), Revision: b.Revision(), State: "serving"})
	}
}

func voterNames(voters []contract.MemberStatus) []string {
	names := []string{}
	for _, voter := range voters {
		name := fmt.Sprintf("%s/%x", voter.ID(), voter.Incarnation())
		if voter.Learner() {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return names
}

func agentView(a contract.AgentStatus) processView {
	b := a.LastHeartbeat()
	p := processView{
		Name: string(b.From().ID()), Role: "agent", Domain: b.From().Domain(), Revision: b.Revision(),
		State: "serving", InFlight: b.Load().InFlight(),
	}
	if a.Leaving() != "" {
		p.State = "leaving: " + a.Leaving()
	}
	for _, c := range b.Copies() {
		p.Copies = append(p.Copies, copyView{c.Model(), c.Digest().Short(), c.Phase().String(), c.Chunks(), c.Total()})
	}
	return p
}

// setRevisionsBehind sets for each process how many revisions it is behind the newest one.
func (v *statusView) setRevisionsBehind() {
	for _, p := range v.Processes {
		v.Revision = max(v.Revision, p.Revision)
	}
	for i := range v.Processes {
		v.Processes[i].RevisionsBehind = v.Revision - v.Processes[i].Revision
	}
}

func (v statusView) report() report {
	r := report{columns: []string{"NAME", "ROLE", "DOMAIN", "REVISION", "BEHIND", "IN FLIGHT", "STATE", "COPIES"}, data: v}
	for _, p := range v.Processes {
		r.rows = append(r.rows, []string{
			p.Name, p.Role, p.Domain, strconv.FormatUint(p.Revision, 10), strconv.FormatUint(p.RevisionsBehind, 10),
			strconv.FormatUint(uint64(p.InFlight), 10), p.State, copiesText(p.Copies),
		})
	}
	r.notes = []string{
		fmt.Sprintf("revision %d, leader %s (term %d), voters %s", v.Revision, orNone(v.Leader), v.Term, orNone(strings.Join(v.Voters, ", "))),
		fmt.Sprintf("downloaded from the origin %s, from other agents %s",
			humanize.IBytes(uint64(v.OriginBytes)), humanize.IBytes(uint64(v.PeerBytes))),
	}
	return r
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// progressBarWidth is the width of a progress bar in characters.
const progressBarWidth = 10

func copiesText(copies []copyView) string {
	var texts []string
	for _, c := range copies {
		text := fmt.Sprintf("%s %s %s", c.Model, c.Digest, c.Phase)
		if c.Chunks < c.Total {
			done := int(c.Chunks) * progressBarWidth / int(c.Total)
			text += fmt.Sprintf(" [%s%s] %d/%d", strings.Repeat("#", done), strings.Repeat(".", progressBarWidth-done), c.Chunks, c.Total)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}
