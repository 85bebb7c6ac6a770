#include "cases.h"

#include "otherwriter.h"
#include "partconfiguration.h"
#include "rebirth.h"
#include "removedroute.h"
#include "starvation.h"

namespace bed
{

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all{
        {"otherwriter", playOtherWriter}, {"partconfiguration", playPartConfiguration},
        {"rebirth", playRebirth},         {"removedroute", playRemovedRoute},
        {"starvation", playStarvation},
    };
    return all;
}

} // namespace bed
