#pragma once

#include "serving/admission_meter.h"
#include "serving/admission_queue.h"
#include "serving/refused_requests.h"

namespace lacewinglock
{

/// What a daemon keeps for the admission of requests.
struct admission_state
{
    admission_meter meter;
    admission_queue queue;
    refused_requests refused;
};

}
