"""Fleet membership, job assignment, update fan-out and a mirror of the store."""

from cowsliploom.members._fan_out import FAN_OUT as FAN_OUT
from cowsliploom.members._fan_out import fan_out_groups as fan_out_groups
from cowsliploom.members._fleet_share import FleetShare as FleetShare
from cowsliploom.members._member_ages import MemberAges as MemberAges
from cowsliploom.members._members import Member as Member
from cowsliploom.members._members import MemberState as MemberState
from cowsliploom.members._members import MemberStatus as MemberStatus
from cowsliploom.members._members import MemberUpdate as MemberUpdate
from cowsliploom.members._members import merge_updates as merge_updates
from cowsliploom.members._membership_table import Census as Census
from cowsliploom.members._membership_table import LivenessRecord as LivenessRecord
from cowsliploom.members._membership_table import MembershipTable as MembershipTable
from cowsliploom.members._mirror import Batch as Batch
from cowsliploom.members._mirror import MirrorItem as MirrorItem
from cowsliploom.members._mirror import Removal as Removal
from cowsliploom.members._mirror import StoreMirror as StoreMirror
from cowsliploom.members._rendezvous import (
    WATCHERS_PER_DATA_CENTRE as WATCHERS_PER_DATA_CENTRE,
)
from cowsliploom.members._rendezvous import chosen_watchers as chosen_watchers
from cowsliploom.members._rendezvous import rank_names as rank_names
from cowsliploom.members._rendezvous import rendezvous_score as rendezvous_score
from cowsliploom.members._store_revisions import era_of as era_of
from cowsliploom.members._store_revisions import number_in_era as number_in_era
from cowsliploom.members._store_revisions import store_revision as store_revision
from cowsliploom.members._watch_choice import STALE_MS as STALE_MS
from cowsliploom.members._watch_choice import WATCHERS as WATCHERS
from cowsliploom.members._watch_choice import WatchInputs as WatchInputs
from cowsliploom.members._watch_choice import must_watch as must_watch
from cowsliploom.members._watcher_liveness import WatcherLiveness as WatcherLiveness
