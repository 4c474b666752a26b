/// What is done to routers, paths, the store and upstreams, at random.
#ifndef SPANPLANK_TESTS_SOAK_FAULTS_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_FAULTS_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Writes the configuration anew, with its version raised.
void writeConfig(Soak& _soak);
/// Does harm of all kinds, one after the other.
void harmOn(Soak& _soak, uint32_t _harmer);
/// Planned work, in series: reloads and stops of routers, which overlap.
void signalOn(Soak& _soak, uint32_t _signaller);
/// Planned work, in series: one hall after the other is evacuated and taken back.
void evacuateOn(Soak& _soak);
/// Planned work, in series: idle limits and keys change.
void changeOn(Soak& _soak);
/// Upstreams leave in series, beside trouble on the way to the store.
void leaveOn(Soak& _soak);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_FAULTS_H_HEADER_GUARD
