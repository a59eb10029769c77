// Package randomised holds long randomised runs: the stand-ins, several entry
// hosts and callers in one process, in virtual time, under fault schedules
// drawn from a seed. After each run every caller's history is held against
// what the stand-ins did.
package randomised
