import type { NodeEvent, RuntimeEffect } from '@lavenderturn/decisions'
import { type AttemptId, type Millis, type RequestId, resultCodes } from '@lavenderturn/types'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { StepObserver } from '../Runtime'

/** Upper bounds in seconds: from the latency of one hop to the deadlines of slow routes. */
const DURATION_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30]

const MILLISECONDS_PER_SECOND = 1_000
const MICROSECONDS_PER_SECOND = 1_000_000

/** Counts steps, results and durations for `/metrics`. Teams are not a label, because there are 220,000. @public */
export class Metrics extends StepObserver {
  readonly registry = new Registry()
  private readonly requestArrivalTimes = new Map<RequestId, Millis>()
  private readonly workArrivalTimes = new Map<AttemptId, Millis>()
  private readonly events: Counter
  private readonly effects: Counter
  private readonly results: Counter
  private readonly requestSeconds: Histogram
  private readonly workSeconds: Histogram

  constructor () {
    super()
    const registers = [this.registry]
    this.events = new Counter({
      name: 'lavenderturn_events_total', help: 'Events reduced', labelNames: ['slice', 'type'], registers
    })
    this.effects = new Counter({
      name: 'lavenderturn_effects_total', help: 'Effects run', labelNames: ['slice', 'type'], registers
    })
    this.results = new Counter({
      name: 'lavenderturn_results_total',
      help: 'Refused requests by result code',
      labelNames: ['code', 'result', 'run'],
      registers
    })
    this.requestSeconds = new Histogram({
      name: 'lavenderturn_request_seconds',
      help: 'From the arrival of a request at the gateway to its end',
      labelNames: ['outcome'],
      buckets: DURATION_BUCKETS,
      registers
    })
    this.workSeconds = new Histogram({
      name: 'lavenderturn_work_seconds',
      help: 'From the arrival of an attempt at the admission to its end',
      labelNames: ['outcome'],
      buckets: DURATION_BUCKETS,
      registers
    })
    addProcessGauges(this.registry)
  }

  override observe (event: NodeEvent, effects: readonly RuntimeEffect[]): void {
    this.events.inc({ slice: event.slice, type: event.type })
    if (event.slice === 'gateway') this.observeGateway(event)
    if (event.slice === 'admission') this.observeAdmission(event)
    for (const effect of effects) {
      this.effects.inc({ slice: effect.slice, type: effect.type })
      if (effect.slice !== 'gateway' || effect.type !== 'refuse') continue
      this.results.inc({ code: resultCodes[effect.result].code, result: effect.result, run: effect.run })
      this.endRequest(effect.requestId, event.at, 'refused')
    }
  }

  private observeGateway (event: Extract<NodeEvent, { slice: 'gateway' }>): void {
    if (event.type === 'requestArrived') this.requestArrivalTimes.set(event.requestId, event.at)
    if (event.type === 'answerEnded') {
      this.endRequest(event.requestId, event.at, event.complete ? 'answered' : 'brokenOff')
    }
    if (event.type === 'callerGone') this.endRequest(event.requestId, event.at, 'callerGone')
  }

  private endRequest (requestId: RequestId, at: Millis, outcome: string): void {
    const arrivedAt = this.requestArrivalTimes.get(requestId)
    if (arrivedAt === undefined) return
    this.requestArrivalTimes.delete(requestId)
    this.requestSeconds.observe({ outcome }, (at - arrivedAt) / MILLISECONDS_PER_SECOND)
  }

  private observeAdmission (event: Extract<NodeEvent, { slice: 'admission' }>): void {
    if (event.type === 'workArrived') this.workArrivalTimes.set(event.attemptId, event.at)
    if (event.type === 'workEnded') this.endWork(event.attemptId, event.at, event.outcome.kind)
    if (event.type === 'workCancelled' || event.type === 'queueDeadlinePassed') {
      this.endWork(event.attemptId, event.at, event.type)
    }
  }

  private endWork (attemptId: AttemptId, at: Millis, outcome: string): void {
    const arrivedAt = this.workArrivalTimes.get(attemptId)
    if (arrivedAt === undefined) return
    this.workArrivalTimes.delete(attemptId)
    this.workSeconds.observe({ outcome }, (at - arrivedAt) / MILLISECONDS_PER_SECOND)
  }
}

function addProcessGauges (registry: Registry): void {
  const cpu = new Gauge({
    name: 'process_cpu_seconds_total',
    help: 'Processor time of the process',
    registers: [registry],
    collect: () => {
      const { user, system } = process.cpuUsage()
      cpu.set((user + system) / MICROSECONDS_PER_SECOND)
    }
  })
  const memory = new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process',
    registers: [registry],
    collect: () => { memory.set(process.memoryUsage.rss()) }
  })
}
