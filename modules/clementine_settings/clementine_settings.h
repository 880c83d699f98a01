/// A node's settings: a strict INI parser, a table with the unit, range,
/// default and description of every setting, and the parsed settings.
///
/// Depends on clementine_core.
#ifndef CLEMENTINE_SETTINGS_H
#define CLEMENTINE_SETTINGS_H

#include "clementine_settings/ini/ini_document.h"
#include "clementine_settings/node/node_settings.h"
#include "clementine_settings/node/settings_error.h"
#include "clementine_settings/node/settings_page.h"
#include "clementine_settings/node/settings_reader.h"
#include "clementine_settings/node/settings_table.h"
#include "clementine_settings/values/setting_values.h"
#include "clementine_settings/values/value_format.h"

#endif
