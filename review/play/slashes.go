package main

import "time"

const (
	slashesKey      = "key-of-runners"
	slashesDeadline = 4 * time.Second
)

// playSlashes sends a request whose path begins with two slashes, as a client makes it that joins an address and a path with
// one slash too many, or, if trouble is unset, with one. It is no case of the review, as no disruption is played.
func playSlashes(d *deployment, trouble bool) (held bool, err error) {
	d.configure([]any{route("/", int(slashesDeadline.Milliseconds()), 1, false, false)}, []any{tenant("club", slashesKey, false)})
	runner, err := d.startRunner("i-1", "v1", 3, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startDaemons(2); err != nil {
		return false, err
	}
	path := "/results/finish?club=7"
	if trouble {
		path = "/" + path
	}
	changed := 0
	for _, each := range d.daemons {
		d.send(ask{daemon: each, path: path, id: "finish-at-" + each.name, key: slashesKey, prefix: "5c1e07a2:400,00000001:20", deadline: slashesDeadline})
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for _, each := range runner.runs {
		if each.target != path {
			changed++
			d.record.note("UNASKED: %s was sent to %s, and the runner ran %s", each.request, path, each.target)
		}
	}
	d.record.conclude("%d of %d requests ran with another path than their clients sent.", changed, len(runner.runs))
	return changed == 0, nil
}
