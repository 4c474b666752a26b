/// Precompiled header of the adapters: the heavy library headers only.
#ifndef SPANPLANK_ADAPTERS_PCH_P_H_HEADER_GUARD
#define SPANPLANK_ADAPTERS_PCH_P_H_HEADER_GUARD

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/fiber/all.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#endif // SPANPLANK_ADAPTERS_PCH_P_H_HEADER_GUARD
