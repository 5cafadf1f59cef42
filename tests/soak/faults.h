// Defines what a soak does to the processes from outside: series of faults,
// drawn from a seed, that overlap each other.
#ifndef FLAMINGOSHUNT_TESTS_SOAK_FAULTS_H_
#define FLAMINGOSHUNT_TESTS_SOAK_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/soak/callers.h"
#include "tests/soak/processes.h"

namespace flamingoshunt::soak {

/// Which faults a run draws from.
enum class fault_set {
  /// Planned work, and silences that sound replicas may have: no answer may be
  /// lost.
  kGentle,
  /// Also kills and pauses of nodes: answers in progress may be lost, but none
  /// may be false.
  kRough
};

class faults {
 public:
  faults(processes& deployment, fault_set set, std::uint64_t seed);

  /// Starts the series; each continues until @p length has passed.
  void Start(milliseconds length);
  /// Returns when all processes run again.
  void Wait();

  /// What was done and when, one line each.
  const std::vector<std::string>& log() const { return log_; }
  /// Nodes that ended otherwise than they were asked to.
  const std::vector<std::string>& wrong_exits() const { return wrong_exits_; }
  int extra_routes() const { return change_.extra_routes; }

 private:
  struct series {
    const char* name;
    void (faults::*step)();
    milliseconds shortest_gap;
    milliseconds longest_gap;
    bool rough;
  };
  static const std::vector<series>& AllSeries();

  void RunSeries(const series& each, steady_time end);
  void SilenceReplicas();
  void StopNode();
  void KillNode();
  void PauseNode();
  void ChangeConfiguration();
  void ReloadNode();
  node_process* ChooseNode();
  void EndNode(node_process& node, int signal);
  milliseconds Between(milliseconds low, milliseconds high);
  void Log(const std::string& line);

  processes& deployment_;
  fault_set set_;
  base::random_engine random_;
  configuration_change change_;
  steady_time began_;
  int running_ = 0;
  std::vector<std::string> log_;
  std::vector<std::string> wrong_exits_;
};

}  // namespace flamingoshunt::soak

#endif  // FLAMINGOSHUNT_TESTS_SOAK_FAULTS_H_
