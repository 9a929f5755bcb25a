package main

import "time"

const (
	revokedPath     = "/ask/"
	revokedKey      = "key-that-is-taken-away"
	revokedDeadline = 4 * time.Second
	// revokedAfter is longer than revokeMs.
	revokedAfter = 6 * time.Second
)

// playRevoked sends a request on a route that allows anonymous callers some time after its key was taken away or, if trouble
// is unset, was not. It is no case of the review.
func playRevoked(d *deployment, trouble bool) (held bool, err error) {
	routes := []any{route(revokedPath, int(revokedDeadline.Milliseconds()), 1, false, true)}
	tenants := []any{tenant("club", revokedKey, false)}
	d.configure(routes, tenants)
	runner, err := d.startRunner("i-1", "v1", 3, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	if trouble {
		d.configure(routes, []any{tenant("club", "another-key", false)})
	}
	time.Sleep(revokedAfter)
	for _, each := range d.daemons {
		d.send(ask{daemon: each, path: revokedPath + "x", id: "ask-at-" + each.name, key: revokedKey, prefix: "5c1e07a2:400,00000001:20", deadline: revokedDeadline})
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	d.record.conclude("%d of %d requests ran; the key was taken away: %t.", len(runner.runs), len(d.daemons), trouble)
	return !trouble || len(runner.runs) == 0, nil
}
