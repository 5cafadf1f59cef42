// Defines what the commands need of the outside: the platform's object API, the
// admin interface of entry nodes, time, and files. The program answers by HTTP
// and the file system, tests from memory.
#ifndef FLAMINGOSHUNT_CONTROL_OUTSIDE_H_
#define FLAMINGOSHUNT_CONTROL_OUTSIDE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "store/messages.h"

namespace flamingoshunt::control {

struct admin_answer {
  int status = 0;  ///< HTTP status.
  std::string body;
};

class outside {
 public:
  virtual ~outside() = default;

  /// Sets the platform's addresses "IP:port", which are tried in turn.
  virtual void UsePlatform(std::vector<std::string> addresses) = 0;

  /// Performs one call of the object API and waits for its reply.
  virtual store::reply Perform(const store::call& request) = 0;

  /// Asks the admin interface of the node at @p address.
  /// @return nothing when it can't be reached.
  virtual std::optional<admin_answer> Ask(const std::string& address,
                                          const std::string& method,
                                          const std::string& target) = 0;

  virtual void Sleep(base::duration span) = 0;
  virtual base::time_point Now() const = 0;
  virtual base::wall_time WallNow() const = 0;

  /// @return the file's text, or nothing when it can't be read.
  virtual std::optional<std::string> ReadFile(const std::string& path) = 0;

  /// @throws command_error when it can't be written.
  virtual void WriteFile(const std::string& path, const std::string& text) = 0;

  /// @return a text that no other writer uses.
  virtual std::string WriterToken() = 0;
};

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_OUTSIDE_H_
