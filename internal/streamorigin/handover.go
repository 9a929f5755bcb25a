package streamorigin

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// handoverInterval is how often a daemon that stops tells homes of the streams that it remembers: others may stop and start
	// meanwhile.
	handoverInterval = time.Second
	// maxHandover bounds the streams that are told each time, the newest first.
	maxHandover = 2000
)

// Run watches the contact with other daemons, and hands over what this daemon remembers while it stops, until the context is cancelled.
func (r *Registry) Run(ctx context.Context) error {
	go r.watchContact(ctx)
	go r.reverify(ctx)
	pause.Every(ctx, handoverInterval, func(time.Time) {
		if r.options.Stopping != nil && r.options.Stopping() {
			r.handOver()
		}
	})
	return nil
}

// handOver tells homes among the other daemons of the streams that began within publishTime.
func (r *Registry) handOver() {
	near := r.options.Topology.Near(r.self)
	byHome := map[string][]agedBeginning{}
	for _, each := range r.remembered() {
		for _, home := range r.homesAmong(streamorigin.Key(each.Key), near) {
			byHome[home] = append(byHome[home], each)
		}
	}
	for home, streams := range byHome {
		for part := range slices.Chunk(streams, maxPerDatagram) {
			peerlink.Tell(r.options.Link, home, peerlink.KindStreamHandover, &handoverMessage{Streams: part})
		}
	}
}

// remembered returns the newest streams of services with several versions that began within publishTime.
func (r *Registry) remembered() []agedBeginning {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	origins := r.told.Since(now.Add(-publishTime))
	for service, own := range r.own {
		if r.listed.Several(now, service) {
			maps.Copy(origins, own.Since(now.Add(-publishTime)))
		}
	}
	var streams []agedBeginning
	for key, origin := range origins {
		age := uint32(max(now.Sub(origin.At), 0).Milliseconds())
		streams = append(streams, agedBeginning{Key: uint64(key), Version: string(origin.Version), Backend: origin.Backend, AgeMs: age})
	}
	slices.SortFunc(streams, func(left, right agedBeginning) int { return int(left.AgeMs) - int(right.AgeMs) })
	return streams[:min(len(streams), maxHandover)]
}

func (r *Registry) receiveHandover(_ string, got handoverMessage) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range got.Streams {
		r.told.Put(now, streamorigin.Key(each.Key), streamorigin.Origin{
			Version: identity.SoftwareVersion(each.Version), Backend: each.Backend, At: now.Add(-time.Duration(each.AgeMs) * time.Millisecond),
		})
	}
}
