package docstore

import (
	"cmp"
	"slices"

	"currantknot.dev/currantknot/pkg/document"
)

// rack is one rack of a failure domain. All its instances belong to the same shard.
type rack struct {
	// name is the failure domain and the name of the rack, separated by a slash.
	name   string
	domain string
	// processors is the sum over all instances of the rack.
	processors int
}

// assignRackShards returns the shard of each rack.
//
// A rack of the old assignment keeps its shard if the document still has this
// shard. Any other rack is assigned to the shard with the fewest processors in
// the failure domain of the rack. Each shard thus gets racks in every failure
// domain that has enough of them, and keeps capacity when one failure domain is
// taken out of service.
func assignRackShards(old map[string]int, d *document.Document) map[string]int {
	n := d.Shards()
	rs := racks(d)
	m := make(map[string]int, len(rs))
	perDomain := make(map[string][]int)
	total := make([]int, n)
	add := func(r rack, shard int) {
		m[r.name] = shard
		if perDomain[r.domain] == nil {
			perDomain[r.domain] = make([]int, n)
		}
		perDomain[r.domain][shard] += r.processors
		total[shard] += r.processors
	}
	var unassigned []rack
	for _, r := range rs {
		if s, ok := old[r.name]; ok && s < n {
			add(r, s)
			continue
		}
		unassigned = append(unassigned, r)
	}
	for _, r := range unassigned {
		add(r, smallestShard(perDomain[r.domain], total))
	}
	return m
}

// smallestShard returns the shard with the fewest processors in a failure domain, and of several such shards the one
// with the fewest in total. Both slices hold numbers of processors by shard; domain is nil if no rack of the failure
// domain has a shard yet.
func smallestShard(domain, total []int) int {
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

// racks returns the racks of the document in the order of their names.
func racks(d *document.Document) []rack {
	m := make(map[string]rack)
	for _, s := range d.SortedSections() {
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

// ShardOf returns the shard to which the rack of the instance is assigned, or 0 if the view does not have this rack.
func (v *View) ShardOf(i document.Instance) int {
	return v.RackShards[i.FailureDomain+"/"+i.Rack]
}
