"""Package coordination of cowsliploom."""

from cowsliploom.coordination._claims import CLAIM_TTL_MS as CLAIM_TTL_MS
from cowsliploom.coordination._claims import SEND_WINDOW_MS as SEND_WINDOW_MS
from cowsliploom.coordination._claims import ClaimAsked as ClaimAsked
from cowsliploom.coordination._claims import ClaimTick as ClaimTick
from cowsliploom.coordination._claims import Decided as Decided
from cowsliploom.coordination._claims import Granted as Granted
from cowsliploom.coordination._claims import InFlight as InFlight
from cowsliploom.coordination._claims import Mismatch as Mismatch
from cowsliploom.coordination._claims import NotRunKnown as NotRunKnown
from cowsliploom.coordination._claims import OutcomeKnown as OutcomeKnown
from cowsliploom.coordination._claims import ReadSegment as ReadSegment
from cowsliploom.coordination._claims import Replay as Replay
from cowsliploom.coordination._claims import SegmentRead as SegmentRead
from cowsliploom.coordination._claims import SegmentSwapped as SegmentSwapped
from cowsliploom.coordination._claims import StoreOut as StoreOut
from cowsliploom.coordination._claims import SwapSegment as SwapSegment
from cowsliploom.coordination._claims import digest_key as digest_key
from cowsliploom.coordination._claims import digest_request as digest_request
from cowsliploom.coordination._claims import segment_key as segment_key
from cowsliploom.coordination._claims_book import ClaimBook as ClaimBook
