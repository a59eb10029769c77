// Package quarantine decides which prompt parts crash replicas, and keeps the
// requests that contain them from replicas.
//
// When a replica crashes, all of its requests fail, and only one of them may be
// the cause. A part crashes a replica as it begins to write an answer, so only
// requests whose answer had begun and had no event yet are evidence. Each entry
// sends its evidence to all others, and decides for itself by these rules:
//
//   - A crash counts against each shared part of the prompt until the part is
//     answered. A replica that crashes counts once, and so do replicas of one
//     failure domain that crash within simultaneous.
//   - A part is banned after minCrashes crashes, or more if other prompts crash
//     replicas in the same period. The part that most crashes count against is
//     banned first, and explains these crashes.
//   - If the same crashes count against several parts, the ban applies to
//     requests that contain all of them, until a crash or an answer
//     distinguishes them.
//   - If each crash of a part could also be due to another part of its prompt,
//     the ban applies only to requests that contain such a part as well.
//   - An answer on a part clears it of all earlier crashes, if it is a success
//     and not a mere comment. The first entries that receive one announce it to
//     the others.
//
// A wrong ban costs the customer the requests with these parts until the first
// answer on them at any entry. It requires that several replicas crash for other
// reasons just as they begin answers on a part, without an answer on that part
// between the crashes.
//
// A ban ends with an answer on one of its parts. To get one, a single entry of
// the deployment admits a banned request on trial, trialInterval after the last
// crash, or as soon as all replicas of the service run a version that has not
// crashed on the parts. Evidence expires after retention; if there is too much,
// the oldest is dropped first.
//
// Parts belong to one customer: equal IDs of different customers are different
// parts.
package quarantine
