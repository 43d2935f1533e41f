#pragma once

namespace cowslipknot {

/// Opens /dev/null as each of the descriptors 0, 1 and 2 that is closed, so
/// that no socket takes its number and receives log lines. Call before anything
/// else opens a descriptor. May run before static constructors.
void OpenMissingStandardDescriptors();

}  // namespace cowslipknot
