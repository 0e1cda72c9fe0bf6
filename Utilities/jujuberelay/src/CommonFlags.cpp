#include <gflags/gflags.h>

DEFINE_string(output, "table", "table or json");
DEFINE_uint64(seed, 1, "seed of loads and measurements");
