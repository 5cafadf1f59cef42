#include "duty/duty_thread.h"

#include <pthread.h>

#include <utility>

#include "base/errors.h"

namespace flamingoshunt::duty {
namespace {

constexpr std::size_t kMaxThreadName = 15;  // characters, as the kernel allows

}  // namespace

duty_thread::duty_thread(std::string name)
    : name_(std::move(name)), work_(loop_.get_executor()) {
  name_.resize(std::min(name_.size(), kMaxThreadName));
}

duty_thread::~duty_thread() {
  Stop();
}

void duty_thread::Start(std::function<void(boost::asio::io_context&)> body) {
  FLAMINGOSHUNT_INVARIANT(!thread_.joinable(), name_);
  thread_ = std::thread([this, body = std::move(body)] {
    pthread_setname_np(pthread_self(), name_.c_str());
    if (body)
      body(loop_);
    else
      loop_.run();
  });
}

void duty_thread::Stop() {
  if (!thread_.joinable())
    return;
  work_.reset();
  loop_.stop();
  thread_.join();
}

}  // namespace flamingoshunt::duty
