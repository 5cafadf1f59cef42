// Defines the outside of the real program: the platform and the nodes by HTTP,
// the system's clocks and files. For use inside runtime::RunFibers.
#ifndef FLAMINGOSHUNT_CONTROL_REAL_OUTSIDE_H_
#define FLAMINGOSHUNT_CONTROL_REAL_OUTSIDE_H_

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/outside.h"

namespace flamingoshunt::control {

class real_outside final : public outside {
 public:
  explicit real_outside(boost::asio::io_context& loop) : loop_(loop) {}

  void UsePlatform(std::vector<std::string> addresses) override {
    platform_ = std::move(addresses);
  }

  store::reply Perform(const store::call& request) override;
  std::optional<admin_answer> Ask(const std::string& address,
                                  const std::string& method,
                                  const std::string& target) override;
  void Sleep(base::duration span) override;
  base::time_point Now() const override { return clock_.Now(); }
  base::wall_time WallNow() const override { return clock_.WallNow(); }
  std::optional<std::string> ReadFile(const std::string& path) override;
  void WriteFile(const std::string& path, const std::string& text) override;
  std::string WriterToken() override;

 private:
  std::optional<store::reply> PerformAt(const std::string& address,
                                        const store::call& request);

  boost::asio::io_context& loop_;
  base::system_clock clock_;
  std::vector<std::string> platform_;
};

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_REAL_OUTSIDE_H_
