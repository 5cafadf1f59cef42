// Defines where a stand-in replica keeps its entry: in a store of the same
// process, or in one that it reaches over HTTP.
#ifndef FLAMINGOSHUNT_STAND_INS_NATIVE_ENTRY_REGISTRY_H_
#define FLAMINGOSHUNT_STAND_INS_NATIVE_ENTRY_REGISTRY_H_

#include <boost/json.hpp>

#include <string>

namespace flamingoshunt::stand_ins {

class entry_registry {
 public:
  virtual ~entry_registry() = default;

  /// Creates or replaces the object. May return before it is written.
  virtual void Put(const std::string& kind,
                   const std::string& name,
                   boost::json::value spec) = 0;
  virtual void Delete(const std::string& kind, const std::string& name) = 0;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_NATIVE_ENTRY_REGISTRY_H_
