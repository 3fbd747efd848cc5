// ================================================================
// The command get: shows configuration objects.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

var getCommand = subcommand{
	name:    "get [KIND [NAME]]",
	summary: "Show configuration objects: group, model, organisation, service, labels, source",
	example: "  tidepost get\n  tidepost get group\n  tidepost get model menu@v7 -o yaml\n  tidepost get group --confirmed",
	build:   buildGet,
}

func buildGet(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.MaximumNArgs(2)
	for _, k := range contract.ObjectKinds() {
		c.ValidArgs = append(c.ValidArgs, string(k))
	}
	confirmed := c.Flags().Bool("confirmed", false, "have a quorum confirm that the result is current")
	return func(ctx context.Context, arguments []string) error { return runGet(ctx, s, arguments, *confirmed) }
}

func runGet(ctx context.Context, s *client, arguments []string, confirmed bool) error {
	kind, name := "", ""
	if len(arguments) > 0 {
		kind = strings.TrimSuffix(arguments[0], "s")
		if kind == "label" {
			kind = string(contract.KindLabels)
		}
	}
	if len(arguments) > 1 {
		name = arguments[1]
	}
	if kind != "" && !knownKind(kind) {
		return usageError{fmt.Errorf("kind %q is not one of %s", arguments[0], kindList())}
	}
	var q contract.QueryResult
	if err := s.call(ctx, link.KindQuery, contract.NewQuery(contract.ObjectKind(kind), name, confirmed), &q); err != nil {
		return err
	}
	if name != "" && len(q.Objects()) == 0 {
		return failure.New(failure.UnknownObject, "%s/%s", kind, name)
	}
	return s.show(objectsReport(q))
}

// objectView is an object in the JSON and YAML output of get.
type objectView struct {
	Kind     string `json:"kind" yaml:"kind"`
	Name     string `json:"name" yaml:"name"`
	Revision uint64 `json:"revision" yaml:"revision"`
	Spec     any    `json:"spec" yaml:"spec"`
}

// objectsView is the output of get in JSON and YAML.
type objectsView struct {
	Revision  uint64       `json:"revision" yaml:"revision"`
	Confirmed bool         `json:"confirmed" yaml:"confirmed"`
	Objects   []objectView `json:"objects" yaml:"objects"`
}

func objectsReport(q contract.QueryResult) report {
	r := report{columns: []string{"KIND", "NAME", "REVISION", "SPEC"}}
	view := objectsView{Revision: q.Revision(), Confirmed: q.Confirmed(), Objects: []objectView{}}
	for _, o := range q.Objects() {
		text, data := describe(o)
		r.rows = append(r.rows, []string{string(o.Kind()), o.Name(), strconv.FormatUint(o.Revision(), 10), text})
		view.Objects = append(view.Objects, objectView{string(o.Kind()), o.Name(), o.Revision(), data})
	}
	r.notes = []string{fmt.Sprintf("revision %d", q.Revision())}
	r.data = view
	return r
}

// describers has a function for each kind of object that returns its text for the table and its
// fields for JSON and YAML.
var describers = map[contract.ObjectKind]func(contract.Object) (string, any){
	contract.KindGroup: func(o contract.Object) (string, any) {
		g, _ := contract.DecodeBody[contract.Group](o)
		return fmt.Sprintf("%s -> %s as %s", g.Selector(), contract.ModelKey(g.Model(), g.Version()), g.Role()),
			fields("selector", g.Selector(), "model", g.Model(), "version", g.Version(), "role", string(g.Role()))
	},
	contract.KindModel: func(o contract.Object) (string, any) {
		m, _ := contract.DecodeBody[contract.Model](o)
		size := humanize.IBytes(uint64(m.Manifest().Size()))
		digest := m.Manifest().Digest()
		return fmt.Sprintf("%s, %d chunks, digest %s", size, len(m.Manifest().Chunks()), digest.Short()),
			fields("model", m.Model(), "version", m.Version(), "size", size, "digest", digest.String())
	},
	contract.KindOrganisation: func(o contract.Object) (string, any) {
		g, _ := contract.DecodeBody[contract.Organisation](o)
		return fmt.Sprintf("weight %d, at most %d in flight (0: no limit)", g.Weight(), g.MaxInFlight()),
			fields("weight", strconv.Itoa(int(g.Weight())), "max_in_flight", strconv.Itoa(int(g.MaxInFlight())))
	},
	contract.KindService: func(o contract.Object) (string, any) {
		v, _ := contract.DecodeBody[contract.Service](o)
		return fmt.Sprintf("%s, repeatable %t", v.Selector(), v.Repeatable()),
			fields("selector", v.Selector(), "repeatable", strconv.FormatBool(v.Repeatable()))
	},
	contract.KindLabels: func(o contract.Object) (string, any) {
		l, _ := contract.DecodeBody[contract.LabelSet](o)
		text := labelText(l.Labels())
		for _, key := range l.Removed() {
			text += " " + key + "-"
		}
		return strings.TrimSpace(text), l.Labels()
	},
	contract.KindSource: func(o contract.Object) (string, any) {
		v, _ := contract.DecodeBody[contract.Source](o)
		return fmt.Sprintf("%s, weight store %t", v.URL(), v.Store()),
			fields("url", v.URL(), "store", strconv.FormatBool(v.Store()))
	},
}

// describe returns the text of an object for the table and its fields for JSON and YAML.
func describe(o contract.Object) (string, any) {
	if d := describers[o.Kind()]; d != nil {
		return d(o)
	}
	return "", nil
}

// fields returns a map from alternating names and values.
func fields(pairs ...string) map[string]string {
	m := map[string]string{}
	for i := 0; i+1 < len(pairs); i += 2 {
		m[pairs[i]] = pairs[i+1]
	}
	return m
}

func labelText(l vm.Labels) string {
	var parts []string
	for k, v := range l {
		parts = append(parts, k+"="+v)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}
