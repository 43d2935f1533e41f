#pragma once

// Criterion's macro Test breaks Boost headers that are included after it.
// clang-format off
#include "base/precompiled.h"
#include <boost/histogram.hpp>
#include <criterion/criterion.h>
// clang-format on
