package docstore

import (
	"cmp"
	"slices"

	"currantknot.dev/currantknot/pkg/document"
)

// rack is a set of instances that belong to one shard.
type rack struct {
	name       string
	domain     string
	processors int
}

// rackShards gives each new rack to the shard with the fewest processors in its failure domain.
//
// Each shard so gets racks in every failure domain and keeps capacity when one leaves.
func rackShards(old map[string]int, d *document.Document) map[string]int {
	n := d.Shards()
	rs := racks(d)
	m := make(map[string]int, len(rs))
	load := make(map[string][]int)
	total := make([]int, n)
	add := func(r rack, shard int) {
		m[r.name] = shard
		if load[r.domain] == nil {
			load[r.domain] = make([]int, n)
		}
		load[r.domain][shard] += r.processors
		total[shard] += r.processors
	}
	var fresh []rack
	for _, r := range rs {
		if s, ok := old[r.name]; ok && s < n {
			add(r, s)
			continue
		}
		fresh = append(fresh, r)
	}
	for _, r := range fresh {
		add(r, leastLoaded(load[r.domain], total))
	}
	return m
}

func leastLoaded(domain, total []int) int {
	b := 0
	for i := range total {
		l, m := 0, 0
		if domain != nil {
			l, m = domain[i], domain[b]
		}
		if l < m || l == m && total[i] < total[b] {
			b = i
		}
	}
	return b
}

func racks(d *document.Document) []rack {
	m := make(map[string]rack)
	for _, s := range d.All() {
		for _, i := range s.Instances {
			k := i.FailureDomain + "/" + i.Rack
			r := m[k]
			m[k] = rack{k, i.FailureDomain, r.processors + i.Processors}
		}
	}
	a := make([]rack, 0, len(m))
	for _, r := range m {
		a = append(a, r)
	}
	slices.SortFunc(a, func(x, y rack) int { return cmp.Compare(x.name, y.name) })
	return a
}

// ShardOf returns the shard that owns the instance.
func (v *View) ShardOf(i document.Instance) int {
	return v.RackShards[i.FailureDomain+"/"+i.Rack]
}
