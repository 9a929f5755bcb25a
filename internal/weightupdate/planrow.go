package weightupdate

import (
	"context"
	"time"

	"github.com/lotusward/lotusward/internal/port"
)

// writePlan writes the plan's row if the plan has changed. A failed write is retried at the next tick; until it
// succeeds, requests may at worst be rejected by a back end that loads.
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

// nextPlan returns the encoded plan and the condition to write it under, or false if no write is due.
func (k *Keeper) nextPlan(now time.Time) ([]byte, planCondition, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	announced := k.options.Announce != nil && now.Sub(k.writtenAt) < writeInterval
	if !k.changed || announced {
		return nil, planCondition{}, false
	}
	value, err := k.plan.Encode()
	if err != nil {
		k.options.Log.WithError(err).Error("The weight update plan cannot be encoded.")
		return nil, planCondition{}, false
	}
	if k.planKnown {
		k.changed = false
	}
	return value, planCondition{version: k.planVersion, known: k.planKnown}, true
}

// learnPlanVersion reads the version of the plan's row.
func (k *Keeper) learnPlanVersion(ctx context.Context) {
	rows, err := k.options.Table.Read(ctx, KeyPlan)
	if err != nil {
		k.options.Log.WithError(err).Warn("The version of the weight update plan's row cannot be read; retrying.")
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
