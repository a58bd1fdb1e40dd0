// Texts of balsamhall-explain.
#ifndef BALSAMHALL_OPERATOR_EXPLANATION_H_
#define BALSAMHALL_OPERATOR_EXPLANATION_H_

#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// Merges what several routers know about one key: the owner of the newest
// epoch and all moves, oldest first. Precondition: answers is not empty.
// Thread-safe.
schema::KeyExplanation MergeKeyExplanations(
    const std::vector<schema::KeyExplanation>& answers);

// Returns owner, reason and moves. Thread-safe.
std::string DescribeKey(const schema::KeyExplanation& key, WallTime now);

// Returns the spans as an indented list, parents before children, each with
// its start relative to the first. Repeats of a span are shown once.
// Thread-safe.
std::string DescribeSpans(std::vector<schema::Span> spans, WallTime now);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_EXPLANATION_H_
