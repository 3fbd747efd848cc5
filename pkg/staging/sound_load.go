// ================================================================
// Which load of the engine is known to be sound: its layers were loaded from chunks that had been
// verified at most maxVerificationAge before, or that were found intact afterwards. Each order raises
// the engine's count of orders, so a load that no order of this process explains is noticed by the
// count, for example one whose order was taken after its call had ended.
// ================================================================

package staging

import (
	"fmt"
	"math"
)

// allLayersEnd is the end of the range of all layers of a model, whose number may not be configured.
const allLayersEnd = math.MaxInt

// layerRange is a range of a model's layers, to exclusive.
type layerRange struct{ from, to int }

// heldLayers returns the layers that an engine holds after an order.
func (o Order) heldLayers() layerRange {
	if o.Partial {
		return layerRange{0, o.Layers}
	}
	return layerRange{0, allLayersEnd}
}

// isEmpty reports whether the range has no layer.
func (r layerRange) isEmpty() bool { return r.from >= r.to }

// contains reports whether all layers of another range are in this one.
func (r layerRange) contains(other layerRange) bool { return r.from <= other.from && other.to <= r.to }

// String returns the range as from-to.
func (r layerRange) String() string { return fmt.Sprintf("%d-%d", r.from, r.to) }

// engineLoad is what an engine holds after a number of orders.
type engineLoad struct {
	startedAt, sequence uint64 // of the engine's report
	version             uint64
	layers              layerRange
}

// loadOf returns the load of a model that the engine reports.
func loadOf(report Report, model string) engineLoad {
	l := engineLoad{startedAt: report.StartedAt, sequence: report.Sequence}
	for _, h := range report.Holdings {
		if h.Model() == model && h.To() > h.From() {
			l.version = h.Version()
			l.layers = layerRange{h.From(), h.To()}
		}
	}
	return l
}

// isSameAs reports whether the engine has taken no order between two reports.
func (l engineLoad) isSameAs(other engineLoad) bool {
	return l.startedAt == other.startedAt && l.sequence == other.sequence
}

// isNextAfter reports whether the engine has taken one order since an earlier report.
func (l engineLoad) isNextAfter(before engineLoad) bool {
	return l.startedAt == before.startedAt && l.sequence == before.sequence+1
}

// firstLoad returns the load that is taken to be sound when the first report of an engine arrives. An
// order that is being carried out then was sent by an earlier process, whose verifications are not
// known.
func firstLoad(report Report, model string) engineLoad {
	l := loadOf(report, model)
	if report.Busy {
		return engineLoad{startedAt: l.startedAt, sequence: l.sequence - 1}
	}
	return l
}

// keptLayers returns the first layers of a load that the engine had before and kept, since it has taken
// one order since.
func (l engineLoad) keptLayers(before engineLoad) layerRange {
	if !l.isNextAfter(before) || l.version != before.version || l.layers.from > 0 || before.layers.from > 0 {
		return layerRange{}
	}
	return layerRange{0, min(l.layers.to, before.layers.to)}
}

// explains reports whether all layers that the engine reports are part of the known load.
func (l engineLoad) explains(reported engineLoad) bool {
	return l.isSameAs(reported) && l.version == reported.version && l.layers.contains(reported.layers)
}
