import type { TeamId } from '@lavenderturn/types'
import type { Work } from './AdmissionState'

/** Maximum number of queued requests of one team at one backend server. */
export const TEAM_QUEUE_LIMIT = 64

/** Maximum number of queued requests of all teams at one backend server. */
export const TOTAL_QUEUE_LIMIT = 256

/** Cost that a queue is credited in each turn. A request with the server's mean service time costs 1. */
const QUANTUM = 1

/** Requests of one team, oldest first. Open routes share one queue. @public */
export interface TeamQueue {
  readonly team: TeamId | undefined
  readonly work: Work[]
  /** Cost that the queue may still use in its turn. */
  deficit: number
}

/** Queues of one backend server, served by deficit round robin. @public */
export interface TeamQueues {
  readonly byTeam: Map<TeamId | undefined, TeamQueue>
  /** The queues that are not empty, in round-robin order; the first one has its turn. */
  readonly activeQueues: TeamQueue[]
  size: number
}

/**
 * @returns empty queues
 * @internal
 */
export function createTeamQueues (): TeamQueues {
  return { byTeam: new Map(), activeQueues: [], size: 0 }
}

/**
 * Adds work to its team's queue, or drops it when that queue is full. When the queues are full in total, the newest
 * work of the longest queue is dropped, so that a few teams cannot occupy the whole capacity.
 *
 * @param queues - the queues
 * @param work - the work to queue
 * @returns the work that was dropped, or undefined
 * @internal
 */
export function enqueue (queues: TeamQueues, work: Work): Work | undefined {
  const queue = queues.byTeam.get(work.team) ?? addQueue(queues, work.team)
  if (queue.work.length >= TEAM_QUEUE_LIMIT) return work
  queue.work.push(work)
  queues.size += 1
  if (queues.size <= TOTAL_QUEUE_LIMIT) return undefined
  const longest = queues.activeQueues.reduce(
    (current, next) => next.work.length > current.work.length ? next : current,
    queue
  )
  const dropped = longest.work.at(-1)!
  removeQueued(queues, dropped)
  return dropped
}

/**
 * Removes and returns the next work by deficit round robin.
 *
 * @param queues - the queues
 * @param costOf - cost of a request in units of the server's mean service time
 * @returns the work, or undefined if the queues are empty
 * @internal
 */
export function dequeue (queues: TeamQueues, costOf: (work: Work) => number): Work | undefined {
  while (queues.activeQueues.length > 0) {
    const queue = queues.activeQueues[0]!
    const work = queue.work[0]!
    const cost = costOf(work)
    if (queue.deficit >= cost) {
      queue.deficit -= cost
      removeQueued(queues, work)
      return work
    }
    queues.activeQueues.push(queues.activeQueues.shift()!)
    startTurn(queues)
  }
  return undefined
}

/**
 * Removes work from its queue.
 *
 * @param queues - the queues
 * @param work - the work; ignored if it is not queued here
 * @internal
 */
export function removeQueued (queues: TeamQueues, work: Work): void {
  const queue = queues.byTeam.get(work.team)
  const index = queue?.work.indexOf(work) ?? -1
  if (queue === undefined || index < 0) return
  queue.work.splice(index, 1)
  queues.size -= 1
  if (queue.work.length === 0) removeQueue(queues, queue)
}

/**
 * Empties the queues.
 *
 * @param queues - the queues
 * @returns all work that was queued
 * @internal
 */
export function drainQueues (queues: TeamQueues): Work[] {
  const drained = queues.activeQueues.flatMap(({ work }) => work)
  queues.byTeam.clear()
  queues.activeQueues.splice(0)
  queues.size = 0
  return drained
}

function addQueue (queues: TeamQueues, team: TeamId | undefined): TeamQueue {
  const queue: TeamQueue = { team, work: [], deficit: 0 }
  queues.byTeam.set(team, queue)
  queues.activeQueues.push(queue)
  if (queues.activeQueues.length === 1) startTurn(queues)
  return queue
}

function removeQueue (queues: TeamQueues, queue: TeamQueue): void {
  const index = queues.activeQueues.indexOf(queue)
  queues.byTeam.delete(queue.team)
  queues.activeQueues.splice(index, 1)
  if (index === 0) startTurn(queues)
}

function startTurn ({ activeQueues }: TeamQueues): void {
  if (activeQueues.length > 0) activeQueues[0]!.deficit += QUANTUM
}
