#include "cases.h"

#include "hopelessgang.h"
#include "otherwriter.h"
#include "partconfiguration.h"
#include "rebirth.h"
#include "removedroute.h"
#include "silentlife.h"
#include "starvation.h"

namespace bed
{

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all{
        {"hopelessgang", playHopelessGang},
        {"otherwriter", playOtherWriter},
        {"partconfiguration", playPartConfiguration},
        {"rebirth", playRebirth},
        {"removedroute", playRemovedRoute},
        {"silentlife", playSilentLife},
        {"starvation", playStarvation},
    };
    return all;
}

} // namespace bed
