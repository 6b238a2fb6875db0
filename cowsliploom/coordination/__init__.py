"""Embeddable coordination: membership, ownership, dissemination, leases, claims."""

from cowsliploom.coordination._applied_mask import AppliedMask as AppliedMask
from cowsliploom.coordination._claims import CLAIM_TTL_MS as CLAIM_TTL_MS
from cowsliploom.coordination._claims import SEND_WINDOW_MS as SEND_WINDOW_MS
from cowsliploom.coordination._claims import ClaimRequested as ClaimRequested
from cowsliploom.coordination._claims import ClaimTick as ClaimTick
from cowsliploom.coordination._claims import Decided as Decided
from cowsliploom.coordination._claims import Granted as Granted
from cowsliploom.coordination._claims import InFlight as InFlight
from cowsliploom.coordination._claims import Mismatch as Mismatch
from cowsliploom.coordination._claims import ReadSegment as ReadSegment
from cowsliploom.coordination._claims import Replay as Replay
from cowsliploom.coordination._claims import RequestFinished as RequestFinished
from cowsliploom.coordination._claims import RequestNotRun as RequestNotRun
from cowsliploom.coordination._claims import SegmentRead as SegmentRead
from cowsliploom.coordination._claims import SegmentSwapped as SegmentSwapped
from cowsliploom.coordination._claims import StoreUnavailable as StoreUnavailable
from cowsliploom.coordination._claims import SwapSegment as SwapSegment
from cowsliploom.coordination._claims import digest_key as digest_key
from cowsliploom.coordination._claims import digest_request as digest_request
from cowsliploom.coordination._claims import segment_key as segment_key
from cowsliploom.coordination._claims_registry import ClaimRegistry as ClaimRegistry
from cowsliploom.coordination._dissemination import (
    ConfigurationReceived as ConfigurationReceived,
)
from cowsliploom.coordination._dissemination import Dissemination as Dissemination
from cowsliploom.coordination._dissemination import FactReceived as FactReceived
from cowsliploom.coordination._dissemination import FetchReply as FetchReply
from cowsliploom.coordination._dissemination import FetchRequest as FetchRequest
from cowsliploom.coordination._leases import CallLease as CallLease
from cowsliploom.coordination._leases import LeaseAcquired as LeaseAcquired
from cowsliploom.coordination._leases import LeaseAnswered as LeaseAnswered
from cowsliploom.coordination._leases import LeaseCommand as LeaseCommand
from cowsliploom.coordination._leases import LeaseEvent as LeaseEvent
from cowsliploom.coordination._leases import LeaseHolder as LeaseHolder
from cowsliploom.coordination._leases import LeaseLost as LeaseLost
from cowsliploom.coordination._leases import LeaseSettings as LeaseSettings
from cowsliploom.coordination._leases import LeaseTicked as LeaseTicked
from cowsliploom.coordination._leases import LeaseUnanswered as LeaseUnanswered
from cowsliploom.coordination._leases import LeaseWanted as LeaseWanted
from cowsliploom.coordination._membership import Membership as Membership
from cowsliploom.coordination._messages import AnswerPeer as AnswerPeer
from cowsliploom.coordination._messages import CallPeer as CallPeer
from cowsliploom.coordination._messages import ContactMade as ContactMade
from cowsliploom.coordination._messages import DataCentreAge as DataCentreAge
from cowsliploom.coordination._messages import DataCentreSample as DataCentreSample
from cowsliploom.coordination._messages import DeclaredDead as DeclaredDead
from cowsliploom.coordination._messages import Fact as Fact
from cowsliploom.coordination._messages import Frame as Frame
from cowsliploom.coordination._messages import FrameKind as FrameKind
from cowsliploom.coordination._messages import GossipPayload as GossipPayload
from cowsliploom.coordination._messages import LeaveRequested as LeaveRequested
from cowsliploom.coordination._messages import MembersChanged as MembersChanged
from cowsliploom.coordination._messages import PeerAnswered as PeerAnswered
from cowsliploom.coordination._messages import PeerCalled as PeerCalled
from cowsliploom.coordination._messages import PeerFailed as PeerFailed
from cowsliploom.coordination._messages import RevisionApplied as RevisionApplied
from cowsliploom.coordination._messages import SeedsListed as SeedsListed
from cowsliploom.coordination._messages import Superseded as Superseded
from cowsliploom.coordination._messages import Ticked as Ticked
from cowsliploom.coordination._node import AnswerFetch as AnswerFetch
from cowsliploom.coordination._node import (
    ConfigurationAnnounced as ConfigurationAnnounced,
)
from cowsliploom.coordination._node import FactAnnounced as FactAnnounced
from cowsliploom.coordination._node import FetchAnswered as FetchAnswered
from cowsliploom.coordination._node import FetchFailed as FetchFailed
from cowsliploom.coordination._node import FetchRequested as FetchRequested
from cowsliploom.coordination._node import FetchUpdates as FetchUpdates
from cowsliploom.coordination._node import Node as Node
from cowsliploom.coordination._node import NodeCommand as NodeCommand
from cowsliploom.coordination._node import NodeEvent as NodeEvent
from cowsliploom.coordination._node import OwnershipChanged as OwnershipChanged
from cowsliploom.coordination._node import ServersWatched as ServersWatched
from cowsliploom.coordination._ownership import Ownership as Ownership
from cowsliploom.coordination._ownership import WatchedServer as WatchedServer
from cowsliploom.coordination._settings import (
    MembershipSettings as MembershipSettings,
)
from cowsliploom.coordination._settings import (
    check_membership_settings as check_membership_settings,
)
from cowsliploom.coordination._store_watch import (
    StoreWatchScheduler as StoreWatchScheduler,
)
from cowsliploom.coordination._store_watch import WatchStore as WatchStore
from cowsliploom.members import Member as Member
from cowsliploom.members import MemberState as MemberState
from cowsliploom.members import MemberStatus as MemberStatus
from cowsliploom.members import MemberUpdate as MemberUpdate
from cowsliploom.members import chosen_watchers as chosen_watchers
from cowsliploom.members import rank_names as rank_names
