// Package quarantine decides which prompt parts crash replicas, and keeps the
// requests that contain them from replicas.
//
// When a replica crashes, all of its requests fail, and only one of them may be
// the cause. An answer that it was just beginning to write is strong evidence against
// the parts of its prompt. A process that crashes may also take with it what it has
// written, or crash after an event, so requests that waited, and those whose first
// event arrived shortly before, are weak evidence: any crash leaves such evidence
// against some sound parts. Each entry sends its evidence to all others, and decides
// for itself by these rules:
//
//   - A crash counts against each shared part of the prompt until the part is
//     answered. A replica that crashes counts once, and so do replicas of one
//     failure domain that crash within simultaneous.
//   - A part is banned after minCrashes crashes with strong evidence
//     (minCrashesIfAnswered if it was ever answered), or more if other prompts crash
//     replicas in the same period; or after minWeakCrashes crashes with any evidence
//     (minWeakCrashesIfAnswered). The part that most crashes count against is banned
//     first, and explains these crashes.
//   - Weak evidence counts after settlingTime, in which answers clear the parts of most
//     requests. Each crash without the part in the same period raises the number
//     needed, unless it may be due to another part that was never answered. Of one
//     failure domain at most one crash more counts than of all others within lossTime.
//     A crash under more than manySuspects requests counts less. A part that this entry
//     had an answer on within justAnswered is no suspect.
//   - If the same crashes count against several parts, the ban applies to
//     requests that contain all of them, until a crash or an answer
//     distinguishes them.
//   - If each crash of a part could also be due to another part of its prompt,
//     the ban applies only to requests that contain such a part as well.
//   - An answer on a part clears it of all earlier crashes, if it is a success that
//     is whole or has gone on for a while. The first entries that receive one announce
//     it to the others. One whose end is that of its connection counts once its
//     replica has answered again.
//   - A crash is refuted if the replica answers a later request on a connection from
//     before it.
//
// A wrong ban costs the customer the requests with these parts until the first
// answer on them at any entry. It requires that several replicas crash for other
// reasons just as they begin answers on a part, or hold requests with it, without an
// answer on that part at any entry between the crashes.
//
// A ban ends with an answer on one of its parts. To get one, a single entry of
// the deployment admits a banned request on trial, trialInterval after the last
// crash (sooner if the ban rests on weak evidence), or as soon as all replicas of the service run a version that has not
// crashed on the parts. Evidence expires after retention. If a customer has too
// much, the crashes are forgotten first that no ban rests on and whose parts the fewest
// others count against; within a crash, the parts that the fewest others are evidence
// against, weak ones first; of the customers, the one whose last crash is the oldest.
//
// Parts belong to one customer: equal IDs of different customers are different
// parts.
package quarantine
