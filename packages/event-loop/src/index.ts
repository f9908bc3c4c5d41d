export { EventLoop, type EventLoopOptions } from './EventLoop'
export { TimerTable } from './TimerTable'
