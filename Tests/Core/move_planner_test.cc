#include "core/move_planner.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/churn_budget.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

struct PlanCase {
  std::string guards_against;
  std::vector<double> own;  // loads of self's partitions
  std::vector<EndpointLoad> others;
  std::size_t max_moves = 10;
  double churn_weight = 1;
  std::size_t low = 0;  // bounds of the number of moves
  std::size_t high = 0;
  EndpointId target = EndpointId();  // of all moves
};

std::ostream& operator<<(std::ostream& out, const PlanCase& plan) {
  return out << plan.guards_against;
}

std::vector<double> Equal(std::size_t count, double load) {
  return std::vector<double>(count, load);
}

const PlanCase kPlans[] = {
    {"churn in a balanced fleet", Equal(10, 10), {{"b", 100, 10, true}}},
    {"churn for an imbalance below the threshold",
     Equal(10, 10.9),
     {{"b", 100, 10, true}, {"c", 100, 10, true}}},
    {"an overloaded endpoint that sheds nothing, or to the wrong target",
     Equal(10, 15),
     {{"b", 60, 10, true}, {"c", 90, 10, true}},
     10,
     1,
     2,
     4,
     "b"},
    {"moves beyond the budget",
     Equal(100, 2),
     {{"b", 10, 10, true}, {"c", 11, 10, true}},
     3,
     1,
     3,
     3,
     ""},
    {"moves without budget", Equal(10, 15), {{"b", 60, 10, true}}, 0},
    {"a move that only shifts the maximum", {150}, {{"b", 50, 10, true}}},
    {"a hot partition that prevents the move of others",
     {100, 10, 10, 10},
     {{"b", 60, 10, true}},
     10,
     1,
     1,
     3,
     "b"},
    {"a move to a draining endpoint",
     Equal(10, 15),
     {{"b", 0, 0, false}, {"c", 90, 10, true}},
     10,
     1,
     1,
     3,
     "c"},
    {"a returned endpoint that stays empty in a large fleet",
     Equal(10, 10.2),
     {{"b", 0, 0, true},
      {"c", 102, 10, true},
      {"d", 102, 10, true},
      {"e", 102, 10, true},
      {"f", 102, 10, true},
      {"g", 102, 10, true},
      {"h", 102, 10, true},
      {"i", 102, 10, true},
      {"j", 102, 10, true},
      {"k", 102, 10, true},
      {"l", 102, 10, true},
      {"m", 102, 10, true}},
     10,
     1,
     1,
     1,
     "b"},
    {"a new endpoint that gets nothing before load is measured",
     Equal(10, 0),
     {{"b", 0, 0, true}},
     10,
     1,
     5,
     5,
     "b"},
    {"churn by count between equal endpoints",
     Equal(10, 0),
     {{"b", 0, 9, true}}},
    {"a churn weight that has no effect",
     Equal(100, 1.3),
     {{"b", 80, 100, true}},
     100,
     9,
     12,
     18,
     "b"},
    {"a service weight that has no effect",
     Equal(100, 1.3),
     {{"b", 80, 100, true}},
     100,
     0.1,
     18,
     20,
     "b"},
};

// Guards against the failure that each case names, and against any move that
// does not lower the maximum.
BOOST_DATA_TEST_CASE(PlannedMoves, data::make(kPlans), plan) {
  MovePlanInput input;
  input.self = "a";
  input.endpoints = plan.others;
  input.max_moves = plan.max_moves;
  input.policy.set_churn_weight(plan.churn_weight);
  input.policy.set_service_weight(1);
  EndpointLoad self{"a", 0, plan.own.size(), true};
  for (PartitionId p = 0; p < plan.own.size(); ++p) {
    input.partition_load[p] = plan.own[p];
    self.load += plan.own[p];
  }
  input.endpoints.push_back(self);
  for (const auto& endpoint : input.endpoints) {
    input.service_partitions += endpoint.partitions;
  }
  const auto moves = PlanMoves(input);
  BOOST_CHECK_GE(moves.size(), plan.low);
  BOOST_CHECK_LE(moves.size(), plan.high);
  double left = self.load;
  std::map<EndpointId, double> load;
  for (const auto& endpoint : plan.others) {
    load[endpoint.endpoint] = endpoint.load;
  }
  for (const auto& move : moves) {
    if (!plan.target.empty()) BOOST_CHECK_EQUAL(move.target, plan.target);
    left -= plan.own[move.partition];
    load[move.target] += plan.own[move.partition];
    if (self.load > 0) BOOST_CHECK_LT(load[move.target], self.load);
  }
}

// Guards against primaries that together use more than the service's budget.
BOOST_AUTO_TEST_CASE(BudgetSharesAddUpToOne) {
  MovePlanInput input;
  input.endpoints = {
      {"a", 150, 10, true}, {"b", 130, 10, true}, {"c", 20, 10, true}};
  double sum = 0;
  for (const char* self : {"a", "b", "c"}) {
    input.self = self;
    sum += BudgetShare(input);
  }
  BOOST_CHECK_CLOSE(sum, 1.0, 0.001);
}

struct BudgetCase {
  double per_minute;
  int minutes;
  std::size_t least;
  std::size_t most;
};

std::ostream& operator<<(std::ostream& out, const BudgetCase& budget) {
  return out << budget.per_minute << " per minute";
}

const BudgetCase kBudgets[] = {
    {20, 10, 200, 220}, {0.5, 10, 5, 6}, {0, 10, 0, 0}};

// Guards against churn above the budget, and against a budget below one move
// per minute that never allows any.
BOOST_DATA_TEST_CASE(ChurnStaysWithinItsBudget, data::make(kBudgets), budget) {
  SteadyTime now{std::chrono::hours{1}};
  ChurnBudget churn(budget.per_minute, now);
  std::size_t moves = 0;
  for (int i = 0; i < budget.minutes * 12; ++i) {
    now += std::chrono::seconds{5};
    const std::size_t available = churn.Available(now);
    churn.Take(available, now);
    moves += available;
  }
  BOOST_CHECK_GE(moves, budget.least);
  BOOST_CHECK_LE(moves, budget.most);
}

}  // namespace
}  // namespace balsamhall
