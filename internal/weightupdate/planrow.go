package weightupdate

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/port"
)

// writePlan writes the plan if it changed. When that fails it is tried again at
// the next tick; the plan only spares requests a rejection.
func (k *Keeper) writePlan(ctx context.Context, now time.Time) {
	value, condition, due := k.nextPlan(now)
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	if !condition.known {
		k.learnPlanVersion(bounded)
		return
	}
	rows, err := k.options.Table.Commit(bounded, port.Transaction{
		Conditions: []port.Condition{{Key: KeyPlan, Version: condition.version}},
		Writes:     []port.Write{{Key: KeyPlan, Value: value}},
	})
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil || len(rows) == 0 {
		k.planKnown = false
		k.changed = true
		return
	}
	k.planVersion = rows[0].Version
	k.writtenAt = now
}

// planCondition is the version of the plan's row that a write expects.
type planCondition struct {
	version uint64
	known   bool
}

// nextPlan returns the plan to write, if one is due.
func (k *Keeper) nextPlan(now time.Time) ([]byte, planCondition, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	announced := k.options.Announce != nil && now.Sub(k.writtenAt) < writeInterval
	if !k.changed || announced {
		return nil, planCondition{}, false
	}
	value, err := k.plan.Encode()
	if err != nil {
		k.options.Log.WithError(err).Error("The plan cannot be encoded.")
		return nil, planCondition{}, false
	}
	if k.planKnown {
		k.changed = false
	}
	return value, planCondition{version: k.planVersion, known: k.planKnown}, true
}

// learnPlanVersion reads which version the plan's row has.
func (k *Keeper) learnPlanVersion(ctx context.Context) {
	rows, err := k.options.Table.Read(ctx, KeyPlan)
	if err != nil {
		k.options.Log.WithError(err).Warn("The version of the plan's row cannot be read; it is tried again.")
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.planKnown = true
	k.planVersion = 0
	if len(rows) > 0 {
		k.planVersion = rows[0].Version
	}
}
