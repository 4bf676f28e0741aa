#ifndef DRAGONFLYGLADE_INSTANCE_SETTINGS_SCHEMA_H_
#define DRAGONFLYGLADE_INSTANCE_SETTINGS_SCHEMA_H_

#include <nlohmann/json.hpp>

namespace dragonflyglade {

/// The JSON schema of one instance's settings.
nlohmann::json SettingsSchema();

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_SETTINGS_SCHEMA_H_
