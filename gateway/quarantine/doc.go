// Package quarantine decides which prompt parts crash replicas, and keeps the
// requests that contain them from replicas.
//
// A replica that crashes ends all requests that it holds. The one to blame is
// found by when the crash came: a part crashes a replica as it begins to write
// an answer on it, so only requests whose answer had begun and had no event yet
// are evidence. Evidence of an entry is spread to all entries, and each entry
// judges for itself from the same evidence:
//
//   - A crash counts against each shared part of the prompt that was not
//     answered since. A replica that crashes counts once, and so do replicas of
//     one failure domain that crash at the same time.
//   - A part is banned from minCrashes crashes on, more if there are others
//     meanwhile, if no other part explains more of them. Parts that were in the same crashes can't be told apart: the
//     ban then applies to requests that contain all of them, until a crash or an
//     answer tells more. A part that was never the only one that a crash can be
//     due to is banned only beside another such part.
//   - An answer on a part clears it of all earlier crashes. The first entries
//     that have one tell the others.
//
// A wrong ban costs the customer the requests with these parts until the first
// answer on them anywhere. It takes several replicas that crash just as they
// begin an answer on a part, without an answer on that part in between.
//
// A ban ends with an answer on one of its parts. Since banned requests get none,
// one of them is admitted on trial by one entry of the deployment, trialInterval
// after the last crash, or as soon as all replicas of the service run a version
// that has not crashed on the parts. Evidence is forgotten after retention, and
// the oldest first if there is too much.
//
// Parts are those of one customer: another customer's parts with the same IDs
// are others.
package quarantine
