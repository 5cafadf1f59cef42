#include "telemetry/log.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

namespace flamingoshunt::telemetry {
namespace {

// spdlog fills in the time (UTC) and the level, the rest is the message.
constexpr char kPattern[] =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

constexpr std::size_t kQueuedLines = 8192;
// Lines that may come at once, in seconds of the bound.
constexpr double kBurstSeconds = 4;
constexpr auto kFlushBound = std::chrono::milliseconds(100);
constexpr auto kFlushCheck = std::chrono::milliseconds(2);

// Counts the lines of a second; called by any thread.
class line_bound {
 public:
  explicit line_bound(double per_second) : per_second_(per_second) {}

  // @return whether one more line may be written.
  bool Take() {
    if (per_second_ <= 0)
      return true;
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const double passed = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    tokens_ =
        std::min(per_second_ * kBurstSeconds, tokens_ + passed * per_second_);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double per_second_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point last_{};
  double tokens_ = 0;
};

struct log_target {
  std::string node;
  // The pool goes after the logger that queues into it.
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::logger> logger;
  std::shared_ptr<line_bound> bound;
};

std::atomic<std::uint64_t> dropped_lines{0};

spdlog::level::level_enum SpdlogLevel(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return spdlog::level::debug;
    case log_level::kInfo:
      return spdlog::level::info;
    case log_level::kWarning:
      return spdlog::level::warn;
    case log_level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::shared_ptr<const log_target> MakeTarget(const log_settings& settings) {
  auto bound = std::make_shared<line_bound>(settings.lines_per_second);
  if (settings.to_standard_output) {
    // One write for each line, whatever reads the other end.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    auto pool = std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        "flamingoshunt", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        pool, spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
    logger->set_level(SpdlogLevel(settings.lowest));
    return std::make_shared<const log_target>(
        log_target{settings.node, std::move(pool), std::move(logger), bound});
  }
  spdlog::sink_ptr sink;
  if (settings.stream)
    sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(*settings.stream,
                                                            true);
  else
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto logger = std::make_shared<spdlog::logger>("flamingoshunt", sink);
  logger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  logger->set_level(SpdlogLevel(settings.lowest));
  logger->flush_on(spdlog::level::info);
  return std::make_shared<const log_target>(
      log_target{settings.node, nullptr, std::move(logger), bound});
}

std::mutex& TargetMutex() {
  static std::mutex mutex;
  return mutex;
}

std::shared_ptr<const log_target>& Target() {
  static std::shared_ptr<const log_target> target = MakeTarget({});
  return target;
}

std::shared_ptr<const log_target> CurrentTarget() {
  const std::lock_guard lock(TargetMutex());
  return Target();
}

boost::json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::uint64_t DroppedLogLines() {
  const auto target = CurrentTarget();
  const std::uint64_t overrun =
      target->pool ? target->pool->overrun_counter() : 0;
  return dropped_lines.load(std::memory_order_relaxed) + overrun;
}

void SetUpLog(const log_settings& settings) {
  auto target = MakeTarget(settings);
  const std::lock_guard lock(TargetMutex());
  Target() = std::move(target);
}

void FlushLog() {
  const auto target = CurrentTarget();
  if (!target->pool)
    return;
  const auto give_up = std::chrono::steady_clock::now() + kFlushBound;
  while (target->pool->queue_size() > 0 &&
         std::chrono::steady_clock::now() < give_up)
    std::this_thread::sleep_for(kFlushCheck);
  // The line taken from the queue last may still be on its way out.
  std::this_thread::sleep_for(kFlushCheck);
}

void LogChange(std::string_view component,
               std::string_view event,
               std::initializer_list<log_field> fields,
               log_level level) {
  const auto target = CurrentTarget();
  const auto spdlog_level = SpdlogLevel(level);
  if (!target->logger->should_log(spdlog_level))
    return;
  if (!target->bound->Take()) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  boost::json::object line;
  if (!target->node.empty())
    line["node"] = target->node;
  line["component"] = View(component);
  line["event"] = View(event);
  for (const log_field& field : fields) {
    std::visit([&](const auto& value) { line[View(field.name)] = value; },
               field.value);
  }
  const std::string text = boost::json::serialize(line);
  // The pattern brings its own braces.
  const std::string_view inside(text.data() + 1, text.size() - 2);
  target->logger->log(spdlog_level,
                      spdlog::string_view_t(inside.data(), inside.size()));
}

}  // namespace flamingoshunt::telemetry
