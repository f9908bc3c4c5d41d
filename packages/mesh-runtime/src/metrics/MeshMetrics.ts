import type { EvictionReason, MemoryEffect, MeshEffect, MeshEvent, SlotMessage } from '@lavenderturn/mesh'
import { type Millis, type RequestId, resultCodes, type ResultCodeName } from '@lavenderturn/types'
import { MeshObserver } from '../MeshRuntime'

/** Upper bounds, from the latency that the proxy adds to the deadlines of slow routes. */
const DURATION_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

const MILLISECONDS_PER_SECOND = 1_000

/** A metric in the output of `/metrics`. @internal */
export interface MetricSeries {
  readonly name: string
  readonly help: string
  readonly values: ReadonlyArray<{ readonly labels: Readonly<Record<string, string>>, readonly value: number }>
}

/** Counts events, results and durations. Series are built only when requested, to keep counting cheap. @public */
export class MeshMetrics extends MeshObserver {
  private readonly events = new Map<string, number>()
  private readonly results = new Map<ResultCodeName, number>()
  private readonly outcomes = new Map<string, number>()
  private readonly slotReplies = new Map<string, number>()
  private readonly evictions = new Map<EvictionReason, number>()
  private readonly droppedConnections = new Map<string, number>()
  private pauses = 0
  private readonly arrivals = new Map<RequestId, Millis>()
  private readonly durations = new Array<number>(DURATION_BUCKETS_S.length + 1).fill(0)
  private durationSum = 0

  override observe (event: MeshEvent, effects: readonly MeshEffect[]): void {
    increment(this.events, `${event.slice}/${event.type}`)
    if (event.slice === 'gateway' && event.type === 'requestArrived') this.arrivals.set(event.requestId, event.at)
    if (event.slice === 'gateway' && event.type === 'callerGone') this.arrivals.delete(event.requestId)
    if (event.slice === 'admission' && event.type === 'workEnded') increment(this.outcomes, event.outcome.kind)
    if (event.slice === 'gateway' && event.type === 'connectionsDropped') {
      increment(this.droppedConnections, event.port, event.count)
    }
    for (const effect of effects) {
      if (effect.slice === 'memory') this.countMemoryEffect(effect)
      if (effect.slice === 'peer' && effect.message.kind === 'slot') this.countSlotReply(effect.message)
      if (effect.slice !== 'gateway') continue
      if (effect.type === 'refuse') increment(this.results, effect.result)
      if (effect.type === 'refuse' || effect.type === 'relay') this.end(effect.requestId, event.at)
    }
  }

  /** @returns all series with their current values */
  collect (): MetricSeries[] {
    return [
      {
        name: 'lavenderturn_mesh_events_total',
        help: 'Events reduced',
        values: [...this.events].map(([key, value]) => {
          const [slice = '', type = ''] = key.split('/')
          return { labels: { slice, type }, value }
        })
      },
      {
        name: 'lavenderturn_mesh_refusals_total',
        help: 'Requests that the node answered itself, by result code',
        values: [...this.results].map(([result, value]) => {
          return { labels: { result, code: String(resultCodes[result].code) }, value }
        })
      },
      {
        name: 'lavenderturn_mesh_work_total',
        help: 'Exchanges with the backend server by outcome',
        values: [...this.outcomes].map(([outcome, value]) => ({ labels: { outcome }, value }))
      },
      {
        name: 'lavenderturn_mesh_slot_replies_total',
        help: 'Replies to slot requests by result, and whether the backend server is suspect',
        values: [...this.slotReplies].map(([key, value]) => {
          const [result = '', suspect = ''] = key.split('/')
          return { labels: { result, suspect }, value }
        })
      },
      {
        name: 'lavenderturn_mesh_bodies_given_up_total',
        help: 'Bodies of requests and responses that were given up because memory was short, by reason',
        values: [...this.evictions].map(([reason, value]) => ({ labels: { reason }, value }))
      },
      {
        name: 'lavenderturn_mesh_body_pauses_total',
        help: 'How often a body was not read further because memory was short',
        values: [{ labels: {}, value: this.pauses }]
      },
      {
        name: 'lavenderturn_mesh_connections_dropped_total',
        help: 'Connections that were not accepted because too many were open, by port',
        values: [...this.droppedConnections].map(([port, value]) => ({ labels: { port }, value }))
      },
      {
        name: 'lavenderturn_mesh_request_seconds_bucket',
        help: 'From the arrival of a request to the start of its answer, cumulative',
        values: this.collectBuckets()
      },
      {
        name: 'lavenderturn_mesh_request_seconds_sum',
        help: 'Sum of the durations of all answered requests',
        values: [{ labels: {}, value: this.durationSum }]
      }
    ]
  }

  private countMemoryEffect (effect: MemoryEffect): void {
    if (effect.type === 'pause') this.pauses += 1
    if (effect.type === 'evict') increment(this.evictions, effect.reason)
  }

  private countSlotReply ({ verdict, refusal, load }: SlotMessage): void {
    increment(this.slotReplies, `${refusal ?? verdict}/${load.suspect}`)
  }

  private end (requestId: RequestId, at: Millis): void {
    const arrivedAt = this.arrivals.get(requestId)
    if (arrivedAt === undefined) return
    this.arrivals.delete(requestId)
    const seconds = (at - arrivedAt) / MILLISECONDS_PER_SECOND
    const bucket = DURATION_BUCKETS_S.findIndex((bound) => seconds <= bound)
    const index = bucket < 0 ? DURATION_BUCKETS_S.length : bucket
    this.durations[index] = this.durations[index]! + 1
    this.durationSum += seconds
  }

  private collectBuckets (): MetricSeries['values'] {
    let total = 0
    return this.durations.map((count, index) => {
      total += count
      const bound = DURATION_BUCKETS_S[index]
      return { labels: { le: bound === undefined ? '+Inf' : String(bound) }, value: total }
    })
  }
}

function increment<Key> (counts: Map<Key, number>, key: Key, by = 1): void {
  counts.set(key, (counts.get(key) ?? 0) + by)
}
