package zpspeed

import "time"

// Newest adds reports that were received some time ago to a list without its changing the
// order. Of two about the same endpoint the newer one stays; those that are too old to be
// passed on are left out.
func Newest(list, added []Report, receivedAgo time.Duration) []Report {
	for _, r := range added {
		if r.Age += receivedAgo; r.Age > maxPassedAge {
			continue
		}
		i := indexOf(list, r.Endpoint)
		switch {
		case i < 0 && len(list) < maxEndpoints:
			list = append(list, r)
		case i >= 0 && (r.StartedAtMS > list[i].StartedAtMS || r.StartedAtMS == list[i].StartedAtMS && r.Age < list[i].Age):
			list[i] = r
		}
	}
	return list
}

func indexOf(list []Report, endpoint string) int {
	for i, r := range list {
		if r.Endpoint == endpoint {
			return i
		}
	}
	return -1
}
