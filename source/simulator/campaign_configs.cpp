// The configurations as JSON text.
#include "simulator/campaign_configs.hpp"

namespace aniseline {

std::string standardConfig(const std::string& additionalQueues) {
  return R"({"policies":{"default":{"rank":"weight_wait * wait + weight_expansion * expansion","may_hold":"urgency <= 0"}},
"planner":{"period_ms":50,"trial_room_mb":4096},
"queues":{"proofs":{"urgency":10,"retries":8,"reserved":300,"trial":{"quantum_ms":3000,"memory_mb":512,"minimum_run_ms":1000}},
"dielines":{"urgency":1,"retries":8,"trial":{"quantum_ms":3000,"memory_mb":1024,"minimum_run_ms":3000}},
"plates":{"urgency":0,"retries":12},"long":{"urgency":-1,"retries":12,"hard_limit_ms":120000},"strict":{"retries":0})" +
         additionalQueues + "}}";
}

std::string calledConfig(const std::string& additionalQueues) {
  return R"({"policies":{"default":{"rank":"weight_wait * wait + weight_expansion * expansion","may_hold":"urgency <= 0"}},
"planner":{"period_ms":50,"trial_room_mb":4096,"far":2,"known_after_ms":3000},
"pools":{"guarded":{"guards_room":true},"open":{}},
"queues":{"proofs":{"urgency":10,"retries":8,"reserved":300,"trial":{"quantum_ms":3000,"memory_mb":512,"minimum_run_ms":1000}},
"dielines":{"urgency":1,"retries":8,"trial":{"quantum_ms":3000,"memory_mb":1024,"minimum_run_ms":3000}},
"plates":{"urgency":0,"retries":12},"long":{"urgency":-1,"retries":12,"hard_limit_ms":120000},"strict":{"retries":0},
"prints":{"urgency":10,"pool":"guarded","tries":4},"sheets":{"urgency":1,"pool":"open","tries":2},
"books":{"pool":"guarded","tries":3},"maps":{"pool":"open","tries":5})" +
         additionalQueues + "}}";
}

}  // namespace aniseline
